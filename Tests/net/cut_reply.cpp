#include "net/pool_fixture.hpp"
#include "net/raw_upstream.hpp"

#include <doctest/doctest.h>
#include <mutex>
#include <string>

using namespace wisteriahatch;

namespace
{

// How an upstream ends a connection.
enum class connection_end : std::uint8_t
{
    closed,
    reset,
};

// An upstream that answers each request with the same bytes and then ends the
// connection.
class cutting_upstream
{
public:
    cutting_upstream()
        : server([this](tcp::socket& socket) { this->answer(socket); })
    {
    }

    tcp::endpoint endpoint() const
    {
        return this->server.endpoint();
    }

    // Must not be called while a request is running.
    void set_reply(std::string bytes, connection_end chosen_end)
    {
        const std::scoped_lock guard(this->lock);
        this->reply = std::move(bytes);
        this->end = chosen_end;
    }

private:
    void answer(tcp::socket& socket)
    {
        error_code failure;
        const std::scoped_lock guard(this->lock);
        asio::write(socket, asio::buffer(this->reply), failure);
        if (this->end == connection_end::reset)
            socket.set_option(asio::socket_base::linger(true, 0), failure);
        // The destructor would ignore the linger option.
        socket.close(failure);
    }

    std::mutex lock;
    std::string reply;
    connection_end end = connection_end::closed;
    raw_upstream server;
};

}

// Guards against a reply that breaks off in its head or body and is taken for a
// complete one: callers got 200 with an empty or short body (rule MIXED, an
// operators' report). Only a body without a length ends with its connection,
// and only when that is closed and not reset.
TEST_CASE_FIXTURE(pool_fixture, "a reply that breaks off is a failure")
{
    struct scenario
    {
        const char* what;
        std::string head;
        std::string body;
        bool may_end_with_connection;
    };
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                             "Response-Seal: s\r\nServer-Load: 1,0,3\r\n";
    cutting_upstream server;
    this->pool->set_upstreams({{"u",
                                {.endpoint = server.endpoint(),
                                 .connection_share = 1,
                                 .state = this->state}}});
    for (const auto& each : std::vector<scenario>{
             {"length", head + "Content-Length: 12\r\n\r\n", "twelve bytes",
              false},
             {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
              "4\r\nfour\r\n0\r\n\r\n", false},
             {"no length", head + "\r\n", "some bytes", true}})
    {
        CAPTURE(each.what);
        const auto whole = each.head + each.body;
        for (const auto end : {connection_end::closed, connection_end::reset})
            for (std::size_t length = 0; length < whole.size(); ++length)
            {
                CAPTURE(length);
                server.set_reply(whole.substr(0, length), end);
                const auto outcome = this->run(make_call("/any"));
                const bool may_succeed = each.may_end_with_connection &&
                                         end == connection_end::closed &&
                                         length >= each.head.size();
                CHECK(outcome.has_value() == may_succeed);
                if (!outcome)
                    CHECK(outcome.error().was_sent);
            }
    }
}
