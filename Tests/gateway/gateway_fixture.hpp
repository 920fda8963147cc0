#ifndef WISTERIAHATCH_TESTS_GATEWAY_GATEWAY_FIXTURE_HPP
#define WISTERIAHATCH_TESTS_GATEWAY_GATEWAY_FIXTURE_HPP

#include "forwarder.hpp"
#include "gateway_state.hpp"
#include "net/forwarding_dialect.hpp"
#include "net/http_client.hpp"
#include "net/loopback.hpp"
#include "platform/headers.hpp"
#include "platform/store_client.hpp"
#include "source_watcher.hpp"
#include "StandIns/server/stand_in_server.hpp"
#include "StandIns/store/stand_in_store.hpp"

#include <boost/asio/post.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <vector>

namespace wisteriahatch
{

// A gateway on loopback between a caller, servers and a store that the test
// controls. The workers are declared first, so that they outlive their users.
struct gateway_fixture
{
    worker_pool stand_in_workers{1};
    worker_pool workers{1};
    stand_in_store store{stand_in_workers, any_loopback_port()};
    std::deque<stand_in_server> servers;
    forwarding_metrics measures;
    gateway_state state{.routes = nullptr,
                        .upstreams = {},
                        .evacuated = {},
                        .budgets = retry_budgets({.ratio = 1, .reserve = 50}),
                        .rate_limits = {},
                        .split = {},
                        .random = std::mt19937_64(1)};
    std::optional<store_client> client;
    std::optional<upstream_pool> pool;
    std::optional<source_watcher> watcher;
    std::optional<forwarder> requests;
    std::optional<http_server> caller_server;
    unsigned last_request = 0;
    // Further fields of the service "plain" in the configuration.
    std::string service_fields;

    // Replaces the one of each request, unless it is empty.
    std::function<bool(std::size_t)> reserve_memory;

    // Failure domain of the servers that are added next.
    std::string server_domain = "z";

    explicit gateway_fixture(bool follows_evacuations = false)
    {
        REQUIRE(this->store.start());
        this->stand_in_workers.start();
        this->client.emplace(
            store_client::options{.address = this->store.endpoint(),
                                  .reads_evacuations = follows_evacuations});
        upstream_pool::options options;
        options.connect_timeout = std::chrono::milliseconds(300);
        const auto dialect = make_forwarding_dialect(platform_header_names());
        options.dialect = dialect;
        this->pool.emplace(this->workers, options);
        this->watcher.emplace(
            source_watcher::options{.worker = &this->workers.at(0),
                                    .source = &*this->client,
                                    .state = &this->state,
                                    .upstreams = &*this->pool,
                                    .follows_evacuations = follows_evacuations,
                                    .handle_evacuations = [this](const auto&)
                                    { this->requests->withdraw_evacuated(); }});
        this->requests.emplace(
            forwarder::options{.worker = &this->workers.at(0),
                               .state = &this->state,
                               .upstreams = &*this->pool,
                               .dialect = dialect,
                               .header_names = platform_header_names(),
                               .failure_domain = "z",
                               .measures = &this->measures});
        this->caller_server.emplace(
            this->workers, http_server::options{.listen = any_loopback_port()},
            [this](http_request request)
            {
                if (this->reserve_memory)
                    request.reserve_memory = this->reserve_memory;
                return this->requests->handle(std::move(request));
            });
        REQUIRE(this->caller_server->start());
        this->workers.start();
        boost::asio::post(this->workers.at(0),
                          [this] { this->watcher->start(); });
    }

    ~gateway_fixture()
    {
        this->workers.stop();
        this->stand_in_workers.stop();
    }

    // Runs the action on the gateway's worker and returns its result.
    template <class Action>
    auto on_worker(Action action)
    {
        std::promise<decltype(action())> done;
        boost::asio::post(this->workers.at(0),
                          [&] { done.set_value(action()); });
        return done.get_future().get();
    }

    // Adds a server of the service. Registers it under `registered_id`, by
    // default under its own id.
    stand_in_server& add_server(const std::string& service,
                                const std::string& id,
                                std::string body = "answer",
                                const std::string& registered_id = "")
    {
        auto& server = this->servers.emplace_back(
            this->stand_in_workers,
            stand_in_server::options{.listen = any_loopback_port(),
                                     .id = id,
                                     .body = std::move(body)});
        REQUIRE(server.start());
        const auto entry_id = registered_id.empty() ? id : registered_id;
        this->store.put(
            "servers/" + entry_id,
            R"({"service":")" + service + R"(","address":")" +
                format_endpoint(server.endpoint()) + R"(","zone":")" +
                this->server_domain +
                R"(","version":"v1","capacity":2,"state":"ready",)"
                R"("warmupLeftMs":0,"sequence":1,"born":1700000000000})");
        return server;
    }

    // Publishes routes: "/q/" scattered over s1 to sN, "/p/" to "plain"
    // (idempotent), "/once/" to "plain" (non-idempotent).
    void put_config(unsigned version, unsigned shards, unsigned target_ms = 400,
                    double min_ratio = 0.5)
    {
        std::string names;
        for (unsigned shard = 1; shard <= shards; ++shard)
            names +=
                (shard == 1 ? "\"s" : ",\"s") + std::to_string(shard) + "\"";
        const std::string common =
            R"("host":"h","timeoutMs":2000,"targetLatencyMs":)" +
            std::to_string(target_ms) + R"(,"priority":1,"maxAttempts":2,)";
        std::string routes =
            R"({"name":"p","prefix":"/p/",)" + common +
            R"("routeKind":"idempotent","service":"plain"},)"
            R"({"name":"once","prefix":"/once/",)" +
            common + R"("routeKind":"non_idempotent","service":"plain"})";
        if (shards > 0)
            routes += R"(,{"name":"q","prefix":"/q/",)" + common +
                      R"("routeKind":"idempotent","gather":[)" + names +
                      R"(],"topK":3,"minShardRatio":)" +
                      std::to_string(min_ratio) + "}";
        this->store.put("op/config",
                        R"({"version":)" + std::to_string(version) +
                            R"(,"routes":[)" + routes +
                            R"(],"services":[{"name":"plain",)"
                            R"("healthPath":"/health","maxConns":800)" +
                            this->service_fields +
                            R"(}],)"
                            R"("limits":{}})");
    }

    // Waits until the gateway knows this many upstreams and this version.
    void wait_for(std::size_t upstreams, std::uint64_t version)
    {
        REQUIRE(wait_until(
            [&]
            {
                return this->on_worker(
                    [&]
                    {
                        return this->state.upstreams.listed().size() ==
                                   upstreams &&
                               this->state.routes &&
                               this->state.routes->version() == version;
                    });
            }));
    }

    // Returns the text of the next request, with the id "r" and its number.
    std::string make_request(const std::string& method,
                             const std::string& target,
                             unsigned deadline_ms = 1500)
    {
        const std::string body = method == "POST" ? "payload" : "";
        return method + " " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
               std::to_string(++this->last_request) +
               "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    http::response<http::string_body> ask(const std::string& method,
                                          const std::string& target,
                                          unsigned deadline_ms = 1500)
    {
        raw_client caller(this->caller_server->endpoint());
        caller.send(this->make_request(method, target, deadline_ms));
        return caller.read();
    }
};

// A gateway that follows evacuations.
struct evacuation_fixture : gateway_fixture
{
    evacuation_fixture()
        : gateway_fixture(true)
    {
    }

    // The evacuations in force.
    std::vector<std::string> evacuated()
    {
        return this->on_worker(
            [this]
            {
                std::vector<std::string> names;
                for (const auto& [name, known] : this->state.evacuated.all())
                    names.push_back(name);
                return names;
            });
    }
};

}

#endif
