#ifndef WISTERIAHATCH_NET_HTTP_SERVER_HPP
#define WISTERIAHATCH_NET_HTTP_SERVER_HPP

#include "core/base/error.hpp"
#include "core/base/time.hpp"
#include "core/connection/caller_memory.hpp"
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
    // Smoothed round-trip time of the peer's connection; 0 when unknown.
    duration round_trip{0};
    // True for the first request on its connection.
    bool is_first_on_connection = false;
    // Set to true, on the worker of the request, when the peer closes or
    // resets its connection while the handler runs.
    std::shared_ptr<bool> is_peer_gone;
    // The handler may store a function here; it is called at most once, on the
    // worker of the request, when is_peer_gone becomes true.
    std::shared_ptr<std::function<void()>> on_peer_gone;
    // Accounts for memory that serving the request takes besides the request
    // itself. Returns false if there is none: the request must be refused. May
    // be empty; to be called on the worker of the request while the handler
    // runs.
    std::function<bool(std::size_t)> reserve_memory;
};

// A reply to write.
struct http_reply
{
    unsigned status = 200;
    std::string body;
    // Empty when `headers` contains it or the reply has none.
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    // The connection is closed without a reply: the caller has left.
    bool is_withheld = false;
    // Content-Length to send instead of the body's length; the connection is
    // closed after the body. Lets test servers send truncated replies.
    std::optional<std::size_t> announced_length;
};

// Limits on the size of requests and on how long a peer may take to send them.
struct http_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    // From the first byte of a request to the end of its headers.
    std::chrono::milliseconds header_timeout{60000};
    std::chrono::milliseconds idle_timeout{60000};
};

// Numbers of connections since the server was created.
struct http_connection_counts
{
    std::size_t accepted = 0;
    std::size_t open = 0;
    std::size_t peak_open = 0;
    // Closed because of max_connections.
    std::size_t refused = 0;
};

using http_handler =
    std::function<boost::asio::awaitable<http_reply>(http_request)>;

// Returns a reply with the body {"error":kind,"message":text}.
http_reply make_error_reply(unsigned status, const error& failure);

// HTTP/1.1 server that runs on all workers. One acceptor assigns sockets to the
// workers in turn, because SO_REUSEPORT would distribute a small number of
// long-lived connections unevenly. A malformed or oversized request is answered
// with a typed error if the connection still permits it, and the connection is
// closed. So is a request that was dropped to keep within the memory.
class http_server
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint listen;
        std::size_t max_body_bytes = std::size_t{1024} * 1024;
        // Maximum wait for a request, and for the peer to send or receive the
        // next bytes of a message.
        std::chrono::seconds idle_timeout{60};
        // Connections beyond this number are closed without a reply. 0 means
        // no limit.
        std::size_t max_connections = 0;
        // The account of what all servers of the process hold for their peers.
        // With an account, a connection beyond max_connections takes the place
        // of the one that has made the least progress with an unfinished
        // request, if there is one. Without an account, memory is not limited.
        std::shared_ptr<caller_memory> memory;
        // Bytes that the kernel may hold for a connection in each direction,
        // with its own overhead; 0 leaves the choice to the kernel. A
        // connection gets more for a large message while the account has room.
        std::size_t socket_buffer_bytes = 0;
        // Called for each request, for limits that change while the server
        // runs. Overrides max_body_bytes and idle_timeout. May be empty.
        std::function<http_limits()> limits;
    };

    http_server(worker_pool& workers, options opts, http_handler handler);
    ~http_server();

    // Binds the address and accepts connections. The error, connect_failed,
    // names the address.
    result<void> start();
    // The bound endpoint, with the chosen port after binding port 0.
    boost::asio::ip::tcp::endpoint endpoint() const;
    // Adds "Connection: close" to every further reply. The server continues to
    // accept connections.
    void begin_drain();
    // Closes the listening socket and the idle connections that have served a
    // request; running requests continue. The future is ready when all workers
    // have done so, and running_requests() then counts every request whose
    // first byte had been read. It never becomes ready if the workers have been
    // stopped.
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
