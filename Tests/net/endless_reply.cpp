#include "net/pool_fixture.hpp"
#include "net/raw_upstream.hpp"

#include <boost/asio/buffer.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <string>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

// Upper bound of what one connection is sent, so that the test ends when the
// caller does not close it.
constexpr std::size_t max_sent_bytes = std::size_t{64} * 1024 * 1024;
// What a reply without end may make the caller accept, including the buffers of
// the kernel at both ends.
constexpr std::size_t max_accepted_bytes = std::size_t{16} * 1024 * 1024;

// An upstream that answers each request with a prefix and then with the same
// bytes again and again until the caller closes the connection.
class endless_upstream
{
public:
    endless_upstream(std::string reply_prefix, const std::string& pattern)
        : prefix(std::move(reply_prefix))
        , server([this](tcp::socket& socket) { this->answer(socket); })
    {
        while (this->block.size() < 65536)
            this->block += pattern;
    }

    tcp::endpoint endpoint() const
    {
        return this->server.endpoint();
    }

    unsigned connections() const
    {
        return this->server.connections();
    }

    std::size_t largest_reply() const
    {
        return this->largest;
    }

private:
    void answer(tcp::socket& socket)
    {
        error_code failure;
        std::size_t sent =
            asio::write(socket, asio::buffer(this->prefix), failure);
        while (!failure && sent < max_sent_bytes)
            sent += asio::write(socket, asio::buffer(this->block), failure);
        this->largest = std::max(this->largest.load(), sent);
    }

    std::string prefix;
    std::string block;
    std::atomic<std::size_t> largest{0};
    raw_upstream server;
};

}

// Guards against an upstream that sends bytes without end until the caller
// closes: the call must end as a failure, memory must stay bounded, and the
// connection must not be used again.
TEST_CASE_FIXTURE(pool_fixture, "a reply without end is cut off")
{
    struct scenario
    {
        const char* what;
        std::string prefix;
        std::string pattern;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& each : std::vector<scenario>{
             {"no HTTP", "", "x"},
             {"status line", "HTTP/1.1 200 ", "x"},
             {"header name", head, "x"},
             {"header value", head + "X: ", "x"},
             {"header fields", head, "X: y\r\n"},
             {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
             {"body of announced length",
              head + "Content-Length: 100000000000\r\n\r\n", "x"},
             {"body until the connection ends", head + "\r\n", "x"},
             {"chunks", chunked, "4\r\nxxxx\r\n"},
             {"chunk length", chunked, "0"},
             {"chunk extension", chunked + "4;", "x"},
             {"trailer value", chunked + "0\r\nX: ", "x"},
             {"trailer fields", chunked + "0\r\n", "X: y\r\n"}})
    {
        CAPTURE(each.what);
        endless_upstream server(each.prefix, each.pattern);
        this->state = std::make_shared<upstream_state>(
            "u", "zone", std::chrono::steady_clock::now());
        this->pool->set_upstreams({{"u",
                                    {.endpoint = server.endpoint(),
                                     .connection_share = 1,
                                     .state = this->state}}});
        for (unsigned call = 1; call <= 2; ++call)
        {
            const auto outcome = this->run(make_call("/any"));
            REQUIRE_FALSE(outcome.has_value());
            CHECK(outcome.error().was_sent);
            CHECK(outcome.error().kind != error_kind::upstream_timeout);
            CHECK(server.connections() == call);
        }
        CHECK(this->state->failure_ratio() > 0);
        CHECK(server.largest_reply() < max_accepted_bytes);
    }
}

// Guards against an instance that exceeds its memory because many upstreams
// send replies without end, each of them within the limit of one reply (rule
// Fault, case 3 of the review).
TEST_CASE_FIXTURE(pool_fixture, "replies without end share a limit")
{
    constexpr std::size_t count = 4;
    this->create_pool({.max_reply_bytes = std::size_t{1} << 30U,
                       .max_total_reply_bytes = std::size_t{1} << 20U},
                      1);
    std::deque<endless_upstream> servers;
    std::map<std::string, upstream_address> addresses;
    for (std::size_t index = 0; index < count; ++index)
    {
        const auto name = "u" + std::to_string(index);
        servers.emplace_back("HTTP/1.1 200 OK\r\n\r\n", "x");
        addresses.emplace(
            name, upstream_address{
                      .endpoint = servers.back().endpoint(),
                      .connection_share = 1,
                      .state = std::make_shared<upstream_state>(
                          name, "zone", std::chrono::steady_clock::now())});
    }
    this->pool->set_upstreams(addresses);
    std::vector<std::future<upstream_result>> calls;
    for (std::size_t index = 0; index < count; ++index)
    {
        auto call = make_call("/any");
        call.replica = "u" + std::to_string(index);
        calls.push_back(this->start(std::move(call)));
    }
    for (auto& call : calls)
    {
        const auto outcome = call.get();
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().kind == error_kind::reply_too_large);
    }
    for (const auto& server : servers)
        CHECK(server.largest_reply() < max_accepted_bytes);
}
