#include "net/http_server.hpp"

#include "net/http_client.hpp"
#include "net/loopback.hpp"
#include "net/round_trip.hpp"

#include <array>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace wisteriahatch;

namespace
{

constexpr std::size_t body_limit = 1000;

// A server on loopback. "/hold" waits for the gate, "/throw" throws,
// "/connection" describes the connection; any other target returns the target
// and the body.
struct server_fixture
{
    gate hold_gate;
    std::atomic<unsigned> peers_gone{0};
    std::array<std::atomic<unsigned>, 4> requests_by_worker{};
    worker_pool workers{4};
    http_server server{workers,
                       {.listen = any_loopback_port(),
                        .max_body_bytes = body_limit,
                        .max_connections = 100},
                       [this](http_request request)
                       { return this->handle(std::move(request)); }};

    server_fixture()
    {
        REQUIRE(this->server.start());
        this->workers.start();
    }

    ~server_fixture()
    {
        this->hold_gate.is_open = true;
        this->workers.stop();
    }

    asio::awaitable<http_reply> handle(http_request request)
    {
        ++this->requests_by_worker.at(worker_pool::current());
        if (request.target == "/connection")
            co_return describe_connection(request);
        *request.on_peer_gone = [this] { ++this->peers_gone; };
        if (request.target == "/hold")
            co_await this->hold_gate.wait();
        if (request.target == "/throw")
            throw std::runtime_error("handler fault");
        http_reply reply;
        reply.body = request.target + " " + request.body;
        co_return reply;
    }

    // Describes whether the request is the first on its connection and whether
    // the round-trip time is known.
    static http_reply describe_connection(const http_request& request)
    {
        http_reply reply;
        reply.body = request.is_first_on_connection ? "first" : "later";
        if (request.round_trip > duration::zero())
            reply.body += " measured";
        return reply;
    }

    std::string echo()
    {
        http_client_request request;
        request.target = "/echo";
        const auto reply = fetch_blocking(this->server.endpoint(), request);
        return reply ? reply.value().body : reply.error().message;
    }
};

}

// Guards against a connection that is closed or mixes up replies after its
// first request, including pipelined requests.
TEST_CASE_FIXTURE(server_fixture, "a connection carries several requests")
{
    raw_client client(this->server.endpoint());
    for (const auto* target : {"/1", "/2"})
    {
        client.get(target);
        CHECK(client.read().body() == std::string(target) + " ");
    }
    client.send("GET /3 HTTP/1.1\r\n\r\nGET /4 HTTP/1.1\r\n\r\n");
    CHECK(client.read().body() == "/3 ");
    CHECK(client.read().body() == "/4 ");
    CHECK(this->server.connections().accepted == 1);
    CHECK(wait_until([&] { return this->server.running_requests() == 0; }));
}

// Guards against request times that leave out the network round trip to the
// caller.
TEST_CASE_FIXTURE(server_fixture, "a request describes its connection")
{
    raw_client client(this->server.endpoint());
    for (const char* expected : {"first measured", "later measured"})
    {
        client.get("/connection");
        CHECK(client.read().body() == expected);
    }
    tcp::socket closed(this->workers.at(0));
    CHECK(round_trip(closed) == duration::zero());
}

// Guards against requests that crash the process, hang, or get an untyped
// error.
TEST_CASE_FIXTURE(server_fixture, "unreadable requests get typed errors")
{
    struct unreadable
    {
        std::string bytes;
        unsigned status;
        std::string kind;
    };
    const std::string large(body_limit + 1, 'x');
    const std::string head = "POST /echo HTTP/1.1\r\n";
    const std::vector<unreadable> table{
        {"NONSENSE\r\n\r\n", 400, "malformed_request"},
        {"GET / HTTP/7.3\r\n\r\n", 400, "malformed_request"},
        {head + "Content-Length: many\r\n\r\n", 400, "malformed_request"},
        {head + "A: " + std::string(20000, 'x') + "\r\n\r\n", 431,
         "malformed_request"},
        {head + "Content-Length: 1001\r\n\r\n" + large, 413, "body_too_large"},
        {head + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + large +
             "\r\n0\r\n\r\n",
         413, "body_too_large"},
        {head + "Transfer-Encoding: chunked\r\n\r\n4;" +
             std::string(std::size_t{256} * 1024, 'x'),
         400, "malformed_request"},
        {"GET /throw HTTP/1.1\r\nConnection: close\r\n\r\n", 500, "internal"},
    };
    for (const auto& scenario : table)
    {
        CAPTURE(scenario.bytes.substr(0, 60));
        raw_client client(this->server.endpoint());
        client.send(scenario.bytes);
        const auto reply = client.read();
        CHECK(reply.result_int() == scenario.status);
        const auto body = boost::json::parse(reply.body()).as_object();
        CHECK(body.at("error").as_string() == scenario.kind);
        CHECK(!body.at("message").as_string().empty());
        CHECK(!reply.keep_alive());
        // The connection is closed afterwards.
        CHECK(client.read().result_int() == 0);
    }
    CHECK(this->echo() == "/echo ");
    CHECK(wait_until([&] { return this->server.connections().open == 0; }));
}

// Guards against a planned shutdown that aborts running requests or drops
// connections in the accept backlog.
TEST_CASE_FIXTURE(server_fixture, "a drain aborts no request")
{
    std::vector<std::unique_ptr<raw_client>> clients;
    for (unsigned number = 0; number < 40; ++number)
    {
        clients.push_back(
            std::make_unique<raw_client>(this->server.endpoint()));
        clients.back()->get("/hold");
    }
    raw_client idle(this->server.endpoint());
    idle.get("/echo");
    CHECK(idle.read().keep_alive());
    REQUIRE(wait_until([&] { return this->server.running_requests() == 40; }));
    this->server.begin_drain();
    raw_client late(this->server.endpoint());
    late.get("/echo");
    CHECK(late.read()["Connection"] == "close");
    const auto stopped = this->server.stop_accepting();
    REQUIRE(stopped.wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
    // Every request whose first byte has been read now counts as running.
    CHECK(this->server.running_requests() == 40);
    CHECK(idle.read().result_int() == 0);
    CHECK(wait_until([&] { return this->server.running_requests() == 40; }));
    this->hold_gate.is_open = true;
    unsigned answered = 0;
    for (const auto& client : clients)
    {
        const auto reply = client->read();
        answered += reply.body() == "/hold " && !reply.keep_alive() ? 1 : 0;
    }
    CHECK(answered == 40);
    CHECK(wait_until([&] { return this->server.running_requests() == 0; }));
    CHECK(!fetch_blocking(this->server.endpoint(), {}));
}

// Guards against workers that stay idle while others serve all connections.
TEST_CASE_FIXTURE(server_fixture, "connections spread evenly over workers")
{
    std::vector<std::unique_ptr<raw_client>> clients;
    for (unsigned number = 0; number < 20; ++number)
    {
        clients.push_back(
            std::make_unique<raw_client>(this->server.endpoint()));
        clients.back()->get("/echo");
        CHECK(clients.back()->read().result_int() == 200);
    }
    for (const auto& requests : this->requests_by_worker)
        CHECK(requests == 5);
}

// Guards against work that continues after its peer has disconnected, also
// behind bytes of a further request, and against connections whose failure
// affects others.
TEST_CASE_FIXTURE(server_fixture, "disconnected peers are detected")
{
    struct scenario
    {
        void (raw_client::*leave)();
        std::string following;
    };
    const std::vector<scenario> table{
        {&raw_client::close, ""},
        {&raw_client::reset, ""},
        {&raw_client::half_close, ""},
        {&raw_client::close, "GET /next HT"},
        {&raw_client::reset, "GET /next HT"},
        {&raw_client::half_close, "GET /next HTTP/1.1\r\n\r\n"}};
    unsigned gone = 0;
    for (const auto& each : table)
    {
        raw_client client(this->server.endpoint());
        client.get("/hold");
        REQUIRE(
            wait_until([&] { return this->server.running_requests() == 1; }));
        client.send(each.following);
        (client.*each.leave)();
        ++gone;
        CHECK(wait_until([&] { return this->peers_gone == gone; }));
        this->hold_gate.is_open = true;
        CHECK(wait_until([&] { return this->server.running_requests() == 0; }));
        this->hold_gate.is_open = false;
    }
    CHECK(this->echo() == "/echo ");
    CHECK(this->peers_gone == table.size());
}

// Guards against a connection limit that is exceeded or does not admit new
// connections after old ones have closed.
TEST_CASE_FIXTURE(server_fixture, "connections beyond the limit are closed")
{
    std::vector<std::unique_ptr<raw_client>> clients;
    for (unsigned number = 0; number < 103; ++number)
        clients.push_back(
            std::make_unique<raw_client>(this->server.endpoint()));
    CHECK(wait_until([&] { return this->server.connections().refused == 3; }));
    CHECK(this->server.connections().peak_open == 100);
    clients.clear();
    CHECK(wait_until([&] { return this->server.connections().open == 0; }));
    CHECK(this->echo() == "/echo ");
}

// Guards against a shutdown that aborts a request which has been read in part.
// The process exits when no request is running, so a request that counts only
// once it is complete is lost (found on dialcraft-amman, day trouble-2).
TEST_CASE_FIXTURE(server_fixture, "a request runs from its first byte on")
{
    raw_client client(this->server.endpoint());
    client.send("GET /1 HT");
    CHECK(wait_until([&] { return this->server.running_requests() == 1; }));
    client.send("TP/1.1\r\n\r\n");
    CHECK(client.read().body() == "/1 ");
    CHECK(wait_until([&] { return this->server.running_requests() == 0; }));
}

// Guards against peers that hold a connection open forever by beginning a
// request and sending the rest a byte now and then, or not at all.
TEST_CASE("a connection is closed when its headers take too long")
{
    worker_pool workers(1);
    http_server server(workers,
                       {.listen = any_loopback_port(),
                        .limits =
                            [] {
                                return http_limits{
                                    .header_timeout =
                                        std::chrono::milliseconds(30)};
                            }},
                       [](http_request) -> asio::awaitable<http_reply>
                       { co_return http_reply{}; });
    REQUIRE(server.start());
    workers.start();
    raw_client idle(server.endpoint());
    raw_client silent(server.endpoint());
    silent.send("GET / HTTP/1.1\r\nA: ");
    raw_client slow(server.endpoint());
    // The idle connection stays; its timeout is a minute.
    CHECK(wait_until(
        [&]
        {
            slow.send("G");
            return server.connections().accepted == 3 &&
                   server.connections().open == 1;
        }));
    idle.get("/");
    CHECK(idle.read().result_int() == 200);
    workers.stop();
}

// Guards against a request that is refused by limits from before its connection
// was idle: a version had raised them (seen by the review).
TEST_CASE("limits that change while a connection is idle hold for it")
{
    std::atomic<std::size_t> max_body_bytes{10};
    worker_pool workers{1};
    http_server server(
        workers,
        {.listen = any_loopback_port(),
         .limits = [&]
         { return http_limits{.max_body_bytes = max_body_bytes}; }},
        [](http_request request) -> asio::awaitable<http_reply>
        {
            http_reply reply;
            reply.body = std::to_string(request.body.size());
            co_return reply;
        });
    REQUIRE(server.start());
    workers.start();
    raw_client client(server.endpoint());
    const auto post = [&client](std::size_t bytes)
    {
        client.send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: " +
                    std::to_string(bytes) + "\r\n\r\n" +
                    std::string(bytes, 'x'));
        return client.read();
    };
    CHECK(post(10).result_int() == 200);
    // The server waits for the next request before the limit changes.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    max_body_bytes = 1000;
    CHECK(post(500).body() == "500");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    max_body_bytes = 10;
    CHECK(post(500).result_int() == 413);
    workers.stop();
}

// Guards against unfinished bodies that fill the memory, against a refusal that
// is not sent or whose request runs, and against a connection limit that idle
// connections use up.
TEST_CASE("unfinished bodies beyond the memory are refused")
{
    constexpr std::size_t body_bytes = 40000;
    const std::string head = "POST / HTTP/1.1\r\nHost: test\r\n";
    std::atomic<unsigned> served{0};
    const auto memory = std::make_shared<caller_memory>(
        caller_memory::options{.max_bytes = std::size_t{400} * 1024});
    worker_pool workers(2);
    http_server server(workers,
                       {.listen = any_loopback_port(),
                        .max_connections = 20,
                        .memory = memory,
                        .socket_buffer_bytes = 65536},
                       [&](http_request request) -> asio::awaitable<http_reply>
                       {
                           ++served;
                           http_reply reply;
                           reply.body = std::to_string(request.body.size());
                           co_return reply;
                       });
    REQUIRE(server.start());
    workers.start();
    std::vector<std::unique_ptr<raw_client>> clients;
    for (unsigned number = 0; number < 12; ++number)
    {
        clients.push_back(std::make_unique<raw_client>(server.endpoint()));
        clients.back()->send(head + "Content-Length: 40000\r\n\r\n" +
                             std::string(body_bytes - 1, 'x'));
    }
    CHECK(wait_until([&] { return memory->current().dropped > 0; }));
    CHECK(memory->current().held_bytes <= std::size_t{400} * 1024);
    raw_client ordinary(server.endpoint());
    ordinary.send(head + "Content-Length: 3\r\n\r\nabc");
    CHECK(ordinary.read().body() == "3");
    // The last byte completes every body that was not refused.
    unsigned refused = 0;
    for (const auto& client : clients)
    {
        client->send("x");
        const auto reply = client->read();
        const bool is_refused = reply.result_int() == 503;
        CHECK((is_refused || reply.body() == "40000"));
        CHECK((!is_refused || !reply["Retry-After"].empty()));
        refused += is_refused ? 1 : 0;
    }
    CHECK(served == 13 - refused);
    CHECK(refused == memory->current().dropped);
    clients.clear();
    for (unsigned number = 0; number < 30; ++number)
        clients.push_back(std::make_unique<raw_client>(server.endpoint()));
    CHECK(wait_until([&] { return memory->current().displaced > 0; }));
    raw_client late(server.endpoint());
    late.get("/");
    CHECK(late.read().body() == "0");
    clients.clear();
    CHECK(wait_until([&] { return server.connections().open <= 2; }));
    workers.stop();
}
