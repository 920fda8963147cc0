#include "ctl/commands/command.hpp"
#include "ctl/commands/status_report.hpp"
#include "net/http_client.hpp"

#include <ostream>

namespace wisteriahatch::ctl
{

namespace
{

// A status reply lists every member: 4,900 nodes of about 150 bytes each.
constexpr std::size_t max_status_bytes = std::size_t{4} * 1024 * 1024;
constexpr unsigned http_ok = 200;

instance_status fetch_status(const std::string& admin_address,
                             const boost::asio::ip::tcp::endpoint& server,
                             std::chrono::milliseconds timeout)
{
    const auto reply =
        fetch_blocking(server, {
                                   .target = "/status",
                                   .max_reply_bytes = max_status_bytes,
                                   .timeout = timeout,
                               });
    if (!reply)
        return {.admin_address = admin_address, .error = reply.error().message};
    if (reply.value().status != http_ok)
        return {.admin_address = admin_address,
                .error = "HTTP status " + std::to_string(reply.value().status) +
                         "; ask the admin address, not the callers' address"};
    return read_status(admin_address, reply.value().body);
}

}

exit_code run_status(const command_context& context)
{
    std::vector<boost::asio::ip::tcp::endpoint> servers;
    for (const auto& argument : context.arguments)
    {
        const auto server = parse_endpoint(argument);
        if (!server)
        {
            context.errors << argument << ": " << server.error().message
                           << '\n';
            return exit_code::usage_error;
        }
        servers.push_back(server.value());
    }
    std::vector<instance_status> statuses;
    for (std::size_t index = 0; index < servers.size(); ++index)
        statuses.push_back(fetch_status(context.arguments[index],
                                        servers[index], context.timeout));
    return print_statuses(statuses, context.output);
}

}
