#ifndef WISTERIAHATCH_STANDINS_SERVER_STAND_IN_SERVER_HPP
#define WISTERIAHATCH_STANDINS_SERVER_STAND_IN_SERVER_HPP

#include "core/base/error.hpp"
#include "net/worker_pool.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// How a stand-in server handles a request.
enum class server_mode : std::uint8_t
{
    // Runs the request and replies.
    normal,
    // Replies 503 with Not-Executed and does not run the request.
    refuse,
    // Runs the request and replies 500 with the server's signature.
    fail,
    // Runs the request and closes the connection without a reply.
    lose,
    // Runs the request and closes the connection within the reply's body.
    truncate,
    // Runs the request and closes the connection within the reply's head.
    truncate_head,
    // Runs the request and sends bytes that are not an HTTP reply.
    garble,
    // Runs the request and sends two replies with different bodies.
    repeat_reply,
    // Refuses each request when it arrives for the first time, and runs it when
    // it arrives again. Before the next reply on a connection that carried a
    // refusal, the refusal is sent a second time.
    repeat_refusal,
    // Runs the request and replies with the id of another request.
    wrong_id,
    // Runs the request and replies without a signature.
    unsigned_reply,
    // Runs the request and never replies.
    silent,
    // Runs the request and replies without Content-Length; the body ends when
    // the connection is closed.
    unframed,
    // Runs the request and replies with the status 000.
    zero_status,
    // Runs the request and replies with the status 600.
    status_600,
};

// Returns the mode with this name, or nullptr if there is none.
const server_mode* find_server_mode(std::string_view name);

// Stands in for one server behind the platform: echoes request ids, signs its
// replies, rejects requests that are meant for another server, and misbehaves
// according to its mode. Replies are written as raw bytes, because an HTTP
// library would refuse to produce most of the faulty ones. A request with the
// path "/control" sets what its parameters name (mode, leaving, retry_after)
// and is answered with the numbers of requests that arrived and ran.
// Thread-safe.
class stand_in_server
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint listen;
        // Compared with the Target-Instance header of each request.
        std::string id;
        std::string body = "answer";
    };

    stand_in_server(worker_pool& workers, options opts);
    ~stand_in_server();

    result<void> start();
    boost::asio::ip::tcp::endpoint endpoint() const;
    void set_mode(server_mode mode);
    // Sets the time between running a request and replying to it.
    void set_delay(std::chrono::milliseconds delay);
    // Sets the rate limit that replies state, in requests a second; negative
    // for none. The limit is not enforced.
    void set_rate_limit(double per_second);
    // Sets how long replies state that the server is still cold; zero for no
    // statement.
    void set_warm_up_left(std::chrono::milliseconds left);

    // Sets whether all replies state that the server leaves.
    void set_leaving(bool value);
    // Sets the value of Retry-After in refusals; empty for none.
    void set_retry_after(const std::string& value);

    // Ids of the requests that were run, in order of execution.
    std::vector<std::string> runs() const;
    // Request lines and headers of all requests received, in order of arrival.
    std::vector<std::string> arrivals() const;
    // Number of requests whose connection the peer closed before the reply.
    std::size_t abandoned() const;

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

}

#endif
