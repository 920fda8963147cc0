#include "net/http_client.hpp"

#include "net/http_target.hpp"
#include "net/loopback.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace wisteriahatch;

// Guards against addresses that are accepted although part of the text is
// ignored.
TEST_CASE("malformed endpoints are refused")
{
    struct endpoint_case
    {
        std::string text;
        std::optional<unsigned> port;
    };
    const std::vector<endpoint_case> table{
        {"127.0.0.1:80", 80},   {"[::1]:8080", 8080}, {"127.0.0.1", {}},
        {"127.0.0.1:", {}},     {"127.0.0.1:8x", {}}, {"127.0.0.1:65536", {}},
        {"localhost:8080", {}}, {":80", {}},          {"", {}},
    };
    for (const auto& scenario : table)
    {
        CAPTURE(scenario.text);
        const auto parsed = parse_endpoint(scenario.text);
        REQUIRE(parsed.has_value() == scenario.port.has_value());
        if (parsed)
            CHECK(parsed.value().port() == *scenario.port);
        else
            CHECK(parsed.error().kind == error_kind::invalid_settings);
    }
}

// Guards against query parameters that are lost or not decoded.
TEST_CASE("targets are split into path and parameters")
{
    const auto target = parse_target("/document?after=3&wait_ms=x&name=a%20b");
    CHECK(target.path == "/document");
    CHECK(target.number("after", 9) == 3);
    CHECK(target.number("wait_ms", 9) == 9);
    CHECK(target.number("missing", 9) == 9);
    CHECK(target.parameters.at("name") == "a b");
    CHECK(parse_target("not a target").path.empty());
}

// Guards against failed exchanges that end with the wrong kind of error, which
// determines whether a caller may retry.
TEST_CASE("failed exchanges have typed errors")
{
    worker_pool workers(1);
    gate never;
    http_server server(workers, {.listen = any_loopback_port()},
                       [&](http_request request) -> asio::awaitable<http_reply>
                       {
                           if (request.target == "/hang")
                               co_await never.wait();
                           http_reply reply;
                           reply.body = "0123456789";
                           if (request.target == "/short")
                               reply.announced_length = 11;
                           co_return reply;
                       });
    REQUIRE(server.start());
    workers.start();
    raw_client unused(server.endpoint());
    const tcp::endpoint closed(asio::ip::address_v4::loopback(), 1);

    struct exchange_case
    {
        std::string target;
        tcp::endpoint server;
        std::optional<error_kind> kind;
    };
    const std::vector<exchange_case> table{
        {"/whole", server.endpoint(), {}},
        {"/short", server.endpoint(), error_kind::truncated_reply},
        {"/hang", server.endpoint(), error_kind::upstream_timeout},
        {"/whole", closed, error_kind::connect_failed},
    };
    for (const auto& scenario : table)
    {
        CAPTURE(scenario.target);
        http_client_request request;
        request.target = scenario.target;
        request.timeout = std::chrono::milliseconds(200);
        const auto reply = fetch_blocking(scenario.server, request);
        REQUIRE(reply.has_value() == !scenario.kind);
        if (reply)
            CHECK(reply.value().headers.at("content-type") ==
                  "application/json");
        else
            CHECK(reply.error().kind == *scenario.kind);
        request.max_reply_bytes = 9;
        if (reply)
            CHECK(fetch_blocking(scenario.server, request).error().kind ==
                  error_kind::reply_too_large);
    }
    workers.stop();
}
