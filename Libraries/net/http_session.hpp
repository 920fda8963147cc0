#ifndef WISTERIAHATCH_NET_HTTP_SESSION_HPP
#define WISTERIAHATCH_NET_HTTP_SESSION_HPP

#include "net/beast.hpp"
#include "net/http_server.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace wisteriahatch
{

// What the connections of one server share.
struct http_session_context
{
    http_server::options values;
    http_handler handler;
    std::atomic<bool> is_draining{false};
    std::atomic<bool> is_stopped{false};
    std::atomic<std::size_t> running_requests{0};
    std::atomic<std::size_t> accepted_connections{0};
    std::atomic<std::size_t> open_connections{0};
    // Written by the accepting worker only.
    std::atomic<std::size_t> most_open_connections{0};
    std::atomic<std::size_t> refused_connections{0};
};

// One accepted connection: reads requests and answers them one after the
// other. Lives on one worker; only that worker calls it.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(tcp::socket socket,
                 std::shared_ptr<http_session_context> context);

    // Serves requests until the connection is closed. The caller keeps the
    // session alive meanwhile.
    asio::awaitable<void> serve();
    // Closes the connection when it has answered a request and no further one
    // has arrived. A connection without a request so far is about to send one,
    // and stays.
    void close_if_idle();

private:
    using parser = http::request_parser<http::string_body>;

    // Reads one request and answers it. Returns false when the connection
    // must be closed.
    asio::awaitable<bool> serve_request();
    http_limits limits() const;
    // Waits for the first bytes of a request.
    asio::awaitable<error_code> wait_for_request();
    asio::awaitable<error_code> read_headers(parser& message);
    // Reads the body that follows the headers in `message`.
    asio::awaitable<error_code> read_body(parser& message);
    // Answers a request that can't be read, where HTTP still allows.
    asio::awaitable<void> answer_read_error(error_code failure);
    asio::awaitable<http_reply> run_handler(http_request request);
    // Returns false when the connection must be closed.
    asio::awaitable<bool> write_reply(http_reply reply, bool keep_open);
    // Takes what the peer still sends, so that closing does not reset the
    // connection before the peer has read the reply.
    asio::awaitable<void> discard_input();
    // Sets is_peer_gone when the peer closes or resets the connection.
    void watch_peer(const http_request& request);

    beast::tcp_stream stream;
    std::shared_ptr<http_session_context> context;
    beast::flat_buffer buffer;
    // Number of the running request. A late event of the watch on an earlier
    // request is told apart by it.
    std::uint64_t request_number = 0;
    bool is_idle = false;
    // The running request is a HEAD, whose reply has no body.
    bool is_head = false;
};

}

#endif
