#include "ctl/commands/status_report.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <ostream>
#include <utility>

namespace wisteriahatch::ctl
{

namespace
{

namespace json = boost::json;

constexpr std::size_t max_text_bytes = 128;

// Copies a string member if it is short and printable ASCII, so that a reply
// can't send control sequences to the terminal.
bool read_text(const json::object& object, std::string_view name,
               std::string& target)
{
    const auto* const member = object.if_contains(name);
    const auto* const text = member ? member->if_string() : nullptr;
    if (!text || text->size() > max_text_bytes ||
        std::ranges::any_of(*text, [](char byte)
                            { return byte < 0x20 || byte > 0x7e; }))
        return false;
    target.assign(text->data(), text->size());
    return true;
}

bool read_bool(const json::object& object, std::string_view name, bool& target)
{
    const auto* const member = object.if_contains(name);
    const auto* const value = member ? member->if_bool() : nullptr;
    if (value)
        target = *value;
    return value != nullptr;
}

bool read_number(const json::object& object, std::string_view name,
                 std::uint64_t& target)
{
    const auto* const member = object.if_contains(name);
    if (!member)
        return false;
    boost::system::error_code failure;
    target = member->to_number<std::uint64_t>(failure);
    return !failure && !member->is_double();
}

// Both members are absent until the instance has published its first status.
bool read_document_key(const json::object& object, instance_status& status)
{
    if (!object.contains("document_serial") &&
        !object.contains("document_digest"))
        return true;
    return read_number(object, "document_serial", status.document_serial) &&
           read_text(object, "document_digest", status.document_digest);
}

// The members are absent in the status of an entry instance.
bool read_signals(const json::object& object, instance_status& status)
{
    if (!object.contains("upstream_pauses"))
        return true;
    auto& counts = status.signals.emplace();
    return read_number(object, "upstream_pauses", counts.pauses) &&
           read_number(object, "upstreams_left", counts.left) &&
           read_number(object, "sends_withheld", counts.withheld);
}

void print_status(const instance_status& status, std::ostream& output)
{
    output << status.admin_address << ' ';
    if (!status.error.empty())
    {
        output << "no status: " << status.error << '\n';
        return;
    }
    output << "address " << status.address
           << (status.is_ready ? " ready" : " not-ready");
    if (status.document_digest.empty())
        output << " no document";
    else
        output << " serial " << status.document_serial << " digest "
               << status.document_digest;
    if (status.signals)
        output << " pauses " << status.signals->pauses << " left "
               << status.signals->left << " withheld "
               << status.signals->withheld;
    output << '\n';
}

}

instance_status read_status(std::string admin_address, std::string_view body)
{
    instance_status status{.admin_address = std::move(admin_address)};
    boost::system::error_code failure;
    const auto value = json::parse(body, failure);
    const auto* const object = failure ? nullptr : value.if_object();
    if (!object)
        status.error = "the reply is no JSON object; ask an admin address";
    else if (!read_text(*object, "address", status.address) ||
             !read_bool(*object, "ready", status.is_ready) ||
             !read_document_key(*object, status) ||
             !read_signals(*object, status))
        status.error =
            "the reply lacks address or ready, or its document or "
            "a count is malformed; ask an admin address of an entry instance";
    return status;
}

exit_code print_statuses(std::span<const instance_status> statuses,
                         std::ostream& output)
{
    std::size_t answered = 0;
    std::size_t ready = 0;
    std::map<std::pair<std::uint64_t, std::string>, std::size_t> documents;
    for (const auto& status : statuses)
    {
        print_status(status, output);
        if (!status.error.empty())
            continue;
        ++answered;
        ready += status.is_ready ? 1 : 0;
        if (!status.document_digest.empty())
            ++documents[{status.document_serial, status.document_digest}];
    }
    output << answered << " of " << statuses.size() << " instances answered, "
           << ready << " ready, " << documents.size()
           << (documents.size() > 1    ? " different documents"
               : documents.size() == 1 ? " document"
                                       : " documents")
           << " in force\n";
    const bool is_agreed =
        documents.size() == 1 && documents.begin()->second == statuses.size();
    return is_agreed && ready == statuses.size() ? exit_code::success
                                                 : exit_code::refused;
}

}
