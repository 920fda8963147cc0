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

std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint)
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

// Applies one control key to one route.
result<void> control(route& controlled, std::string_view key, bool value)
{
    if (key == "refuse")
        return controlled.set_refuse(value);
    if (key == "silence_new")
        controlled.set_silence_new(value);
    else if (key == "silence_existing" && value)
        controlled.silence_existing();
    else if (key == "close_existing" && value)
        controlled.close_existing();
    else
        return error{error_kind::malformed_request,
                     "unknown control key " + std::string(key)};
    return boost::outcome_v2::success();
}

// POST /control {"routes":[listening addresses] (default all), and any of
// "silence_existing":true, "close_existing":true, "silence_new":bool,
// "refuse":bool}.
result<void> control_all(const route_list& routes, const std::string& body)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return error{error_kind::malformed_request,
                     "the body is not a JSON object"};
    const auto& object = parsed.get_object();
    const auto* names = object.if_contains("routes");
    for (const auto& each : routes)
    {
        const json::value name(text_of(each->listen()));
        if (names != nullptr && names->is_array() &&
            std::ranges::count(names->get_array(), name) == 0)
            continue;
        for (const auto& member : object)
        {
            if (member.key() == "routes")
                continue;
            const bool value =
                member.value().is_bool() && member.value().get_bool();
            BOOST_OUTCOME_TRY(control(*each, member.key(), value));
        }
    }
    return boost::outcome_v2::success();
}

boost::asio::awaitable<http_reply> handle_admin(const route_list& routes,
                                                http_request request)
{
    if (request.method == "POST")
    {
        const auto changed = control_all(routes, request.body);
        if (!changed)
            co_return make_error_reply(400, changed.error());
    }
    json::object counters;
    for (const auto& each : routes)
        counters[text_of(each->listen())] = each->counters();
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
    const auto ended = run();
    if (ended)
        return 0;
    std::cerr << "stand-in-silencer: " << ended.error().message << '\n';
    return 1;
}
