#ifndef WISTERIAHATCH_NET_HTTP_SESSION_HPP
#define WISTERIAHATCH_NET_HTTP_SESSION_HPP

#include "net/beast.hpp"
#include "net/http_server.hpp"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace wisteriahatch
{

// State that all connections of one server share.
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
    std::atomic<std::size_t> peak_open_connections{0};
    std::atomic<std::size_t> refused_connections{0};
};

// One accepted connection, which reads requests and answers them in order.
// Belongs to one worker.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(tcp::socket socket,
                 std::shared_ptr<http_session_context> context);

    // Serves requests until the connection is closed. The caller keeps the
    // session alive meanwhile.
    asio::awaitable<void> serve();
    // Closes the connection if it has served a request and no bytes of a
    // further one have arrived. A connection that has not sent any request yet
    // stays open, because its first request is expected to follow.
    void close_if_idle();

private:
    using parser = http::request_parser<http::string_body>;

    // Reads one request and answers it. Returns false when the connection
    // must be closed.
    asio::awaitable<bool> serve_request();
    // Reads one request into `message`, which must be empty before.
    asio::awaitable<error_code> read_request(std::optional<parser>& message);
    // Calls the handler. Returns false when the connection must be closed.
    asio::awaitable<bool> answer_request(parser& message);
    http_limits limits() const;
    bool is_dropped() const;
    // Ends the operation in progress; called on any thread when the connection
    // is dropped.
    void handle_drop();
    // Bytes of the buffers and of the request that is being read.
    std::size_t held_bytes(parser& message) const;
    // Gives the connection larger socket buffers if the message does not fit
    // into those that it has and the account has room.
    void extend_socket_buffers(std::size_t message_bytes);
    // Frees the buffer unless it holds bytes of a further request.
    void shrink_buffer();
    // Waits for the first bytes of a request.
    asio::awaitable<error_code> wait_for_request();
    asio::awaitable<error_code> read_headers(parser& message);
    // Parses the bytes in the buffer, and reads further ones if the parser
    // needs more.
    asio::awaitable<error_code> read_some(parser& message);
    // Reads the body that follows the headers in `message`.
    asio::awaitable<error_code> read_body(parser& message);
    // Answers a request that can't be read, unless the connection has failed
    // or the peer has ended it.
    asio::awaitable<void> answer_read_error(error_code failure);
    asio::awaitable<http_reply> run_handler(http_request request);
    // Returns false when the connection must be closed.
    asio::awaitable<bool> write_reply(http_reply reply, bool keep_open);
    // Reads and discards what the peer still sends, because closing a socket
    // with unread input resets the connection, possibly before the peer has
    // read the reply.
    asio::awaitable<void> discard_input();
    // What a request learns of its peer; see http_request.
    struct peer_watch
    {
        std::uint64_t phase = 0;
        std::shared_ptr<bool> is_peer_gone;
        std::shared_ptr<std::function<void()>> on_peer_gone;
    };

    // Sets is_peer_gone when the peer closes or resets the connection.
    void watch_peer(const peer_watch& watch);
    // Decides what the event on the socket means for the request.
    void check_peer(const peer_watch& watch);
    bool has_peer_left();

    beast::tcp_stream stream;
    asio::steady_timer peer_timer;
    std::shared_ptr<http_session_context> context;
    beast::flat_buffer buffer;
    // Incremented when a request has been read and when its handler has
    // returned, so that a late completion of watch_peer() for an earlier
    // request is ignored.
    std::uint64_t request_phase = 0;
    bool is_idle = false;
    bool has_large_socket_buffers = false;
    // The running request is a HEAD, whose reply has no body.
    bool is_head = false;
    // The last reply could not be written whole.
    bool is_unread = false;
    // The refusal of the dropped request is being written.
    bool has_handled_drop = false;
    // Capacity taken by the headers of the current request.
    std::size_t header_bytes = 0;
    // Set while the connection is served. Declared last, because on_drop uses
    // the other members until it is destroyed.
    std::optional<caller_memory::reservation> memory;
};

}

#endif
