#ifndef WISTERIAHATCH_TESTS_NET_LOOPBACK_HPP
#define WISTERIAHATCH_TESTS_NET_LOOPBACK_HPP

#include "net/beast.hpp"
#include "net/http_server.hpp"

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>

namespace wisteriahatch
{

inline tcp::endpoint any_loopback_port()
{
    return {asio::ip::address_v4::loopback(), 0};
}

// Waits until the predicate is true, and returns its last value. The time limit
// is reached only when a test fails.
inline bool wait_until(const std::function<bool()>& predicate)
{
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!predicate() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return predicate();
}

// Suspends handlers until it is opened.
struct gate
{
    std::atomic<bool> is_open{false};

    asio::awaitable<void> wait() const
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        error_code ignored;
        while (!this->is_open)
        {
            timer.expires_after(std::chrono::milliseconds(1));
            co_await timer.async_wait(store_error(ignored));
        }
    }
};

// A blocking connection that sends arbitrary bytes.
class raw_client
{
public:
    explicit raw_client(const tcp::endpoint& server)
        : socket(this->context)
    {
        this->socket.connect(server);
    }

    void send(const std::string& bytes)
    {
        error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    void get(const std::string& target)
    {
        this->send("GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n");
    }

    // Reads one reply. Its status is 0 when the connection ends before the
    // reply is complete.
    http::response<http::string_body> read()
    {
        error_code failure;
        http::response<http::string_body> reply;
        http::read(this->socket, this->buffer, reply, failure);
        if (failure)
            reply.result(0U);
        return reply;
    }

    // Closes the connection with a reset instead of an end of stream.
    void reset()
    {
        this->socket.set_option(asio::socket_base::linger(true, 0));
        this->socket.close();
    }

    // Closes the sending direction only.
    void half_close()
    {
        this->socket.shutdown(tcp::socket::shutdown_send);
    }

    void close()
    {
        this->socket.close();
    }

private:
    asio::io_context context;
    tcp::socket socket;
    beast::flat_buffer buffer;
};

}

#endif
