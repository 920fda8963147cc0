#ifndef WISTERIAHATCH_NET_HTTP_SERVER_HPP
#define WISTERIAHATCH_NET_HTTP_SERVER_HPP

#include "core/base/error.hpp"
#include "core/base/time.hpp"
#include "net/message_headers.hpp"
#include "net/worker_pool.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriahatch
{

// A parsed request.
struct http_request
{
    std::string method;
    // Path with query string.
    std::string target;
    message_headers headers;
    std::string body;
    time_point received;
    // Of the peer's connection; 0 where it is unknown.
    duration round_trip{0};
    // The peer opened its connection for this request.
    bool is_first_on_connection = false;
    // Set to true, on the worker of the request, when the peer closed its
    // connection before the reply was written.
    std::shared_ptr<bool> is_peer_gone;
    // The handler may store a function here; it is called at most once, on the
    // worker of the request, when is_peer_gone becomes true.
    std::shared_ptr<std::function<void()>> on_peer_gone;
};

// A reply to write.
struct http_reply
{
    unsigned status = 200;
    std::string body;
    // Empty when `headers` has it, or when there is none.
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    // Length to announce instead of the body's; the connection closes after
    // the body. Lets stand-ins send truncated replies.
    std::optional<std::size_t> announced_length;
};

// Bounds on what a peer may send, and on how long it may idle.
struct http_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    // From the first byte of a request to the end of its headers.
    std::chrono::milliseconds header_timeout{60000};
    std::chrono::milliseconds idle_timeout{60000};
};

// Connections of a server so far.
struct http_connection_counts
{
    std::size_t accepted = 0;
    std::size_t open = 0;
    std::size_t most_open = 0;
    // Closed because of max_connections.
    std::size_t refused = 0;
};

using http_handler =
    std::function<boost::asio::awaitable<http_reply>(http_request)>;

// Returns a reply with the body {"error":kind,"message":text}.
http_reply make_error_reply(unsigned status, const error& failure);

// HTTP/1.1 server over all workers. One acceptor hands sockets to the workers
// in turn: SO_REUSEPORT would spread few long-lived connections unevenly. A
// malformed or oversized request costs its connection and is answered with a
// typed error where HTTP still allows.
class http_server
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint listen;
        std::size_t max_body_bytes = std::size_t{1024} * 1024;
        // Longest wait for a request, and for the peer to send or take the
        // next bytes of a message.
        std::chrono::seconds idle_timeout{60};
        // Connections beyond this number are closed without a reply; 0 means
        // no limit.
        std::size_t max_connections = 0;
        // Read at each request, where limits change while the server runs;
        // replaces max_body_bytes and idle_timeout. May be empty.
        std::function<http_limits()> limits;
    };

    http_server(worker_pool& workers, options values, http_handler handler);
    ~http_server();

    // Binds and accepts; connect_failed names the address when binding fails.
    result<void> start();
    // The bound endpoint, useful after binding port 0.
    boost::asio::ip::tcp::endpoint endpoint() const;
    // Every further reply carries "Connection: close"; accepting goes on.
    void begin_drain();
    // Closes the listening socket and idle connections. Running requests go
    // on. The result is ready when the workers have done so: every request
    // that was read until then counts in running_requests(). It never is where
    // the workers have been stopped.
    std::future<void> stop_accepting();
    // Requests whose first byte was read and whose reply is not yet written.
    std::size_t running_requests() const;
    http_connection_counts connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

}

#endif
