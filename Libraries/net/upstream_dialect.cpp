#include "net/upstream_dialect.hpp"

#include "net/upstream_pool.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace wisteriahatch
{

namespace
{

constexpr unsigned status_version_unavailable = 409;
constexpr unsigned status_shed = 503;

// Parses a decimal number, which spaces may surround. Returns nullopt for any
// other text.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    Number value{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

// Parses a list such as "1,2,3". Returns nullopt when an item is not a number.
// An empty list means that the upstream holds no index version.
std::optional<std::vector<index_version>> parse_versions(std::string_view text)
{
    std::vector<index_version> versions;
    while (!text.empty())
    {
        const auto comma = std::min(text.find(','), text.size());
        const auto version = parse_number<std::uint64_t>(text.substr(0, comma));
        if (!version)
            return std::nullopt;
        versions.push_back(index_version{*version});
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return versions;
}

// Parses the index versions in the body of a reply with status 409.
std::optional<std::vector<index_version>>
parse_refused_versions(std::string_view body)
{
    boost::system::error_code failure;
    const auto parsed = boost::json::parse(
        boost::json::string_view(body.data(), body.size()), failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    const auto* list = parsed.get_object().if_contains("versions");
    if (list == nullptr || !list->is_array())
        return std::nullopt;
    std::vector<index_version> versions;
    for (const auto& item : list->get_array())
    {
        const auto version = item.to_number<std::uint64_t>(failure);
        if (failure)
            return std::nullopt;
        versions.push_back(index_version{version});
    }
    return versions;
}

class json_dialect : public upstream_dialect
{
public:
    message_headers send_headers(const upstream_call& call,
                                 duration) const override
    {
        if (call.request->body.empty())
            return {};
        return {{"Content-Type", "application/json"}};
    }

    upstream_report read_report(const upstream_reply& reply) const override
    {
        upstream_report report;
        if (const auto draining = find_header(reply.headers, "x-draining"))
            report.is_draining = *draining == "1";
        if (const auto load = find_header(reply.headers, "x-load"))
            report.load = parse_number<double>(*load);
        if (const auto versions =
                find_header(reply.headers, "x-index-versions"))
            report.versions = parse_versions(*versions);
        if (reply.status == status_version_unavailable)
            if (auto versions = parse_refused_versions(reply.body))
                report.versions = std::move(versions);
        return report;
    }

    // Always true here: the id is in the body, and the query compares it.
    bool belongs_to(const upstream_call&, const upstream_reply&) const override
    {
        return true;
    }

    bool is_refusal(const upstream_reply& reply) const override
    {
        return reply.status == status_shed;
    }

    // Always false here: replies are not checked for the replica that sent
    // them. The query compares the request id, the shard and the index version
    // in the body.
    bool is_misdirected(const upstream_reply&) const override
    {
        return false;
    }
};

}

std::optional<rate_limit_statement>
upstream_dialect::read_rate_limit(const upstream_reply&) const
{
    return std::nullopt;
}

std::optional<std::chrono::milliseconds>
upstream_dialect::read_warm_up_left(const upstream_reply&) const
{
    return std::nullopt;
}

std::shared_ptr<const upstream_dialect> make_json_dialect()
{
    return std::make_shared<json_dialect>();
}

}
