#include "net/http_client.hpp"
#include "net/http_target.hpp"
#include "net/stop_signal.hpp"
#include "StandIns/upstream/stand_in_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(upstreams, "upstream@127.0.0.1:9000",
              "comma-separated NAME@IP:PORT; NAME*COUNT@IP:PORT names "
              "NAME-0, NAME-1, ... on consecutive ports");
DEFINE_string(admin, "",
              "IP:PORT for GET /counters and POST /control of all upstreams");
DEFINE_uint32(workers, 2, "worker threads");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_uint32(slots, 3, "requests handled concurrently, per upstream");
DEFINE_uint32(connections, 30, "connection limit, per upstream");
DEFINE_uint32(queue, 64, "requests that may wait for a slot, per upstream");
DEFINE_double(latency_ms, 5, "mean service time");
DEFINE_string(latency_model, "exponential", "fixed or exponential");
DEFINE_double(straggler_factor, 1, "factor of the service time");
DEFINE_uint32(cold_start_ms, 0, "duration of the cold start");
DEFINE_double(cold_start_factor, 1,
              "factor of the service time during the cold start");
DEFINE_string(versions, "", "index versions held: service=1,2;other=1");

namespace
{

using namespace wisteriahatch;
namespace asio = boost::asio;
namespace json = boost::json;

using upstream_list = std::vector<std::unique_ptr<stand_in_upstream>>;

// Parses --upstreams. Every upstream gets the given behaviour.
result<std::vector<stand_in_upstream::options>>
parse_upstreams(const upstream_behaviour& behaviour)
{
    std::vector<stand_in_upstream::options> upstreams;
    std::istringstream items(FLAGS_upstreams);
    for (std::string item; std::getline(items, item, ',');)
    {
        const auto at = item.find('@');
        if (at == std::string::npos)
            return error{error_kind::invalid_settings,
                         "upstream \"" + item +
                             "\" is not of the form NAME@IP:PORT"};
        BOOST_OUTCOME_TRY(auto endpoint, parse_endpoint(item.substr(at + 1)));
        stand_in_upstream::options each;
        each.connections = FLAGS_connections;
        each.seed = FLAGS_seed;
        each.behaviour = behaviour;
        each.listen = endpoint;
        each.name = item.substr(0, at);
        const auto star = each.name.find('*');
        if (star == std::string::npos)
        {
            upstreams.push_back(each);
            continue;
        }
        const auto prefix = each.name.substr(0, star);
        const auto count = std::stoul(each.name.substr(star + 1));
        for (unsigned long number = 0; number < count; ++number)
        {
            each.name = prefix + "-" + std::to_string(number);
            upstreams.push_back(each);
            each.listen.port(each.listen.port() + 1);
        }
    }
    return upstreams;
}

result<upstream_behaviour> parse_behaviour()
{
    upstream_behaviour behaviour;
    behaviour.slots = FLAGS_slots;
    behaviour.queue = FLAGS_queue;
    behaviour.latency_ms = FLAGS_latency_ms;
    behaviour.latency_model = FLAGS_latency_model;
    behaviour.straggler_factor = FLAGS_straggler_factor;
    behaviour.cold_start_ms = FLAGS_cold_start_ms;
    behaviour.cold_start_factor = FLAGS_cold_start_factor;
    BOOST_OUTCOME_TRY(behaviour.versions, parse_versions(FLAGS_versions));
    return behaviour;
}

// Applies the control object to one upstream, or returns its counters if
// `control` is null. Runs on the upstream's worker.
asio::awaitable<json::object> control_or_count(stand_in_upstream* upstream,
                                               const json::object* control)
{
    if (control == nullptr)
        co_return upstream->counters();
    const auto changed = upstream->control(*control);
    json::object answer;
    if (!changed)
        answer["error"] = changed.error().message;
    co_return answer;
}

// Handles GET /counters of all upstreams, and POST /control with
// {"upstreams":[names], "control":{...}}, by default for all upstreams.
asio::awaitable<http_reply> handle_admin(const upstream_list& upstreams,
                                         http_request request)
{
    boost::system::error_code failure;
    json::value parsed;
    const json::object* control = nullptr;
    const json::value* selected = nullptr;
    if (request.method == "POST")
    {
        parsed = json::parse(request.body, failure);
        if (!failure && parsed.is_object())
        {
            const auto* member = parsed.get_object().if_contains("control");
            control = member != nullptr ? member->if_object() : nullptr;
            selected = parsed.get_object().if_contains("upstreams");
        }
        if (control == nullptr)
        {
            const error malformed{error_kind::malformed_request,
                                  "the body has no object \"control\""};
            co_return make_error_reply(400, malformed);
        }
    }
    json::object answers;
    bool is_failed = false;
    for (const auto& upstream : upstreams)
    {
        if (selected != nullptr && selected->is_array() &&
            std::ranges::count(selected->get_array(),
                               json::value(upstream->name())) == 0)
            continue;
        auto pending = control_or_count(upstream.get(), control);
        auto answer = co_await asio::co_spawn(
            upstream->worker(), std::move(pending), asio::use_awaitable);
        is_failed = is_failed || answer.contains("error");
        answers[upstream->name()] = std::move(answer);
    }
    http_reply reply;
    reply.status = is_failed ? 400 : 200;
    reply.body = json::serialize(answers);
    co_return reply;
}

// Prints the failure and returns the exit status.
int fail(const error& failure)
{
    std::cerr << "stand-in-upstream: " << failure.message << '\n';
    return 1;
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("stand-in for the upstreams of a service");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto behaviour = parse_behaviour();
    if (!behaviour)
        return fail(behaviour.error());
    const auto upstream_options = parse_upstreams(behaviour.value());
    if (!upstream_options)
        return fail(upstream_options.error());

    // Each upstream runs on a single thread, so its state needs no locks.
    std::vector<std::unique_ptr<worker_pool>> threads;
    for (unsigned worker = 0; worker < std::max(1U, FLAGS_workers); ++worker)
        threads.push_back(std::make_unique<worker_pool>(1));
    worker_pool admin_thread(1);
    upstream_list upstreams;
    for (const auto& each : upstream_options.value())
    {
        auto& thread = *threads[upstreams.size() % threads.size()];
        upstreams.push_back(std::make_unique<stand_in_upstream>(thread, each));
        const auto started = upstreams.back()->start();
        if (!started)
            return fail(started.error());
        std::cout << "listening " << each.name << " "
                  << upstreams.back()->endpoint() << '\n';
    }
    std::unique_ptr<http_server> admin;
    if (!FLAGS_admin.empty())
    {
        const auto endpoint = parse_endpoint(FLAGS_admin);
        if (!endpoint)
            return fail(endpoint.error());
        admin = std::make_unique<http_server>(
            admin_thread, http_server::options{.listen = endpoint.value()},
            [&upstreams](http_request request)
            { return handle_admin(upstreams, std::move(request)); });
        const auto started = admin->start();
        if (!started)
            return fail(started.error());
        std::cout << "listening admin " << admin->endpoint() << '\n';
    }
    for (const auto& thread : threads)
        thread->start();
    admin_thread.start();
    std::cout << "ready" << std::endl;
    wait_for_stop_signal();
    admin_thread.stop();
    for (const auto& thread : threads)
        thread->stop();
    return 0;
}
