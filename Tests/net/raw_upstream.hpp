#ifndef WISTERIAHATCH_TESTS_NET_RAW_UPSTREAM_HPP
#define WISTERIAHATCH_TESTS_NET_RAW_UPSTREAM_HPP

#include "net/loopback.hpp"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace wisteriahatch
{

// An upstream that answers with arbitrary bytes: it reads one request from each
// connection, one connection after the other, and passes the socket to a
// function, after which the connection is closed.
class raw_upstream
{
public:
    using answer_function = std::function<void(tcp::socket&)>;

    explicit raw_upstream(answer_function function)
        : answer(std::move(function))
        , acceptor(this->context, any_loopback_port())
        , thread([this] { this->serve(); })
    {
    }

    ~raw_upstream()
    {
        error_code ignored;
        this->is_stopping = true;
        tcp::socket last(this->context);
        last.connect(this->endpoint(), ignored);
    }

    tcp::endpoint endpoint() const
    {
        return this->acceptor.local_endpoint();
    }

    unsigned connections() const
    {
        return this->connection_count;
    }

private:
    void serve()
    {
        for (;;)
        {
            tcp::socket socket(this->context);
            error_code failure;
            this->acceptor.accept(socket, failure);
            if (this->is_stopping || failure)
                return;
            ++this->connection_count;
            std::string request(4096, '\0');
            socket.read_some(asio::buffer(request), failure);
            this->answer(socket);
        }
    }

    answer_function answer;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::atomic<bool> is_stopping{false};
    std::atomic<unsigned> connection_count{0};
    std::jthread thread;
};

}

#endif
