#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/stop_signal.hpp"
#include "StandIns/silencer/route.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <vector>

DEFINE_string(routes, "127.0.0.1:9700=127.0.0.1:9000",
              "comma-separated LISTEN=TARGET, each IP:PORT");
DEFINE_string(admin, "127.0.0.1:9790",
              "IP:PORT for POST /control and GET /counters");

namespace
{

using namespace wisteriahatch;
namespace json = boost::json;

using route_list = std::vector<std::shared_ptr<route>>;

std::string endpoint_text(const boost::asio::ip::tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

result<route_list> create_routes(boost::asio::io_context& worker)
{
    route_list routes;
    std::istringstream items(FLAGS_routes);
    for (std::string item; std::getline(items, item, ',');)
    {
        const auto equals = item.find('=');
        if (equals == std::string::npos)
            return error{error_kind::invalid_settings,
                         "route \"" + item +
                             "\" is not of the form LISTEN=TARGET"};
        BOOST_OUTCOME_TRY(auto listen, parse_endpoint(item.substr(0, equals)));
        BOOST_OUTCOME_TRY(auto target, parse_endpoint(item.substr(equals + 1)));
        routes.push_back(std::make_shared<route>(worker, listen, target));
    }
    return routes;
}

// Applies one key of a control request to a route.
result<void> change_route(route& changed, std::string_view key, bool value)
{
    if (key == "refuse")
        return changed.set_refuse(value);
    if (key == "silence_new")
        changed.set_silence_new(value);
    else if (key == "silence_existing" && value)
        changed.silence_existing();
    else if (key == "close_existing" && value)
        changed.close_existing();
    else
        return error{error_kind::malformed_request,
                     "unknown control key or wrong value: " + std::string(key)};
    return boost::outcome_v2::success();
}

// Handles the body of POST /control: {"routes":[listening addresses]}, by
// default all routes, and any of "silence_existing":true,
// "close_existing":true, "silence_new":bool and "refuse":bool.
result<void> change_routes(const route_list& routes, const std::string& body)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return error{error_kind::malformed_request,
                     "the body is not a JSON object"};
    const auto& object = parsed.get_object();
    const auto* selected = object.if_contains("routes");
    for (const auto& each : routes)
    {
        const json::value name(endpoint_text(each->listen()));
        if (selected != nullptr && selected->is_array() &&
            std::ranges::count(selected->get_array(), name) == 0)
            continue;
        for (const auto& member : object)
        {
            if (member.key() == "routes")
                continue;
            const bool value =
                member.value().is_bool() && member.value().get_bool();
            BOOST_OUTCOME_TRY(change_route(*each, member.key(), value));
        }
    }
    return boost::outcome_v2::success();
}

boost::asio::awaitable<http_reply> handle_admin(const route_list& routes,
                                                http_request request)
{
    if (request.method == "POST")
    {
        const auto changed = change_routes(routes, request.body);
        if (!changed)
            co_return make_error_reply(400, changed.error());
    }
    json::object counters;
    for (const auto& each : routes)
        counters[endpoint_text(each->listen())] = each->counters();
    http_reply reply;
    reply.body = json::serialize(counters);
    co_return reply;
}

result<void> run()
{
    worker_pool workers(1);
    BOOST_OUTCOME_TRY(const auto routes, create_routes(workers.at(0)));
    BOOST_OUTCOME_TRY(auto listen, parse_endpoint(FLAGS_admin));
    http_server admin(workers, {.listen = listen},
                      [&routes](http_request request)
                      { return handle_admin(routes, std::move(request)); });
    BOOST_OUTCOME_TRY(admin.start());
    for (const auto& each : routes)
    {
        BOOST_OUTCOME_TRY(each->start());
        std::cout << "listening route " << each->listen() << '\n';
    }
    workers.start();
    std::cout << "listening admin " << admin.endpoint() << "\nready"
              << std::endl;
    wait_for_stop_signal();
    workers.stop();
    return boost::outcome_v2::success();
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("pass-through proxy that can swallow bytes");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto outcome = run();
    if (outcome)
        return 0;
    std::cerr << "stand-in-silencer: " << outcome.error().message << '\n';
    return 1;
}
