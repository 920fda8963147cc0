#include "admin_api.hpp"

#include "core/request/wire.hpp"
#include "net/http_client.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <string_view>

namespace wisteriahatch
{

namespace
{

namespace json = boost::json;

constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

std::string_view state_name(member_state state)
{
    constexpr std::array<std::string_view, 4> names{"alive", "suspect",
                                                    "leaving", "dead"};
    return names.at(static_cast<std::size_t>(state));
}

json::array encode_members(const std::vector<member_record>& members)
{
    json::array array;
    array.reserve(members.size());
    for (const auto& member : members)
        array.push_back({{"address", member.address},
                         {"failure_domain", member.failure_domain},
                         {"state", state_name(member.state)},
                         {"document_serial", member.document.serial}});
    return array;
}

}

admin_api::admin_api(options opts)
    : config(opts)
{
}

boost::asio::awaitable<http_reply> admin_api::handle(http_request request)
{
    struct route
    {
        std::string_view target;
        http_reply (admin_api::*answer)() const;
    };
    constexpr std::array routes{
        route{"/live", &admin_api::live},
        route{"/ready", &admin_api::ready},
        route{"/status", &admin_api::status},
        route{"/metrics", &admin_api::export_metrics},
    };
    const auto* found = std::find_if(routes.begin(), routes.end(),
                                     [&](const route& each)
                                     { return each.target == request.target; });
    if (found != routes.end() && request.method == "GET")
        co_return (this->*found->answer)();
    http_reply reply;
    reply.status = status_not_found;
    reply.body = encode_error({error_kind::malformed_request,
                               "use GET with /live, /ready, /status or "
                               "/metrics"});
    co_return reply;
}

http_reply admin_api::live() const
{
    http_reply reply;
    reply.body = R"({"live":true})";
    return reply;
}

http_reply admin_api::ready() const
{
    http_reply reply;
    const bool is_ready = this->config.control->is_ready();
    if (!is_ready)
        reply.status = status_unavailable;
    reply.body = is_ready ? R"({"ready":true})" : R"({"ready":false})";
    return reply;
}

http_reply admin_api::status() const
{
    const auto current = this->config.control->latest_status();
    json::object object;
    object["name"] = this->config.values->name;
    object["environment"] = this->config.values->environment;
    object["failure_domain"] = this->config.values->failure_domain;
    object["address"] = format_endpoint(this->config.values->peer_address);
    object["ready"] = this->config.control->is_ready();
    if (current != nullptr)
    {
        object["document_serial"] = current->document.serial;
        object["document_digest"] = current->document.digest;
        object["directory_revision"] = current->directory_revision;
        object["reads_configuration_service"] = current->is_reader;
        object["members"] = encode_members(current->members);
    }
    http_reply reply;
    reply.body = json::serialize(object);
    return reply;
}

http_reply admin_api::export_metrics() const
{
    http_reply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = this->config.measures->text();
    return reply;
}

}
