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

// What a stand-in server does with a request.
enum class server_mode : std::uint8_t
{
    // Runs it and answers.
    normal,
    // Answers 503 and states that it did not run it.
    refuse,
    // Runs it and answers 500 with its signature.
    fail,
    // Runs it and closes the connection without an answer.
    lose,
    // Runs it and breaks off in the body.
    truncate,
    // Runs it and answers with bytes that are no reply.
    garble,
    // Runs it, answers, and sends a second reply with another body.
    repeat_reply,
    // Runs it and answers with the id of another request.
    wrong_id,
    // Runs it and answers without a signature.
    unsigned_reply,
    // Runs it and never answers.
    silent,
    // Runs it and answers without a length; the connection ends the body.
    unframed,
};

// Returns the mode of this name, or nullptr.
const server_mode* find_server_mode(std::string_view name);

// Stands in for one server behind the platform: echoes request ids, signs its
// replies, refuses requests for another server, and misbehaves as told. Writes
// its replies byte by byte itself, since an HTTP library would not write most
// of these. Thread-safe.
class stand_in_server
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint listen;
        // Compared with the server that a request is meant for.
        std::string id;
        std::string body = "answer";
    };

    stand_in_server(worker_pool& workers, options values);
    ~stand_in_server();

    result<void> start();
    boost::asio::ip::tcp::endpoint endpoint() const;
    void set_mode(server_mode mode);
    // Time between running a request and answering it.
    void set_delay(std::chrono::milliseconds delay);

    // Ids of the requests that were run, in order.
    std::vector<std::string> runs() const;
    // Header blocks of the requests that arrived, as read.
    std::vector<std::string> arrivals() const;
    // Requests whose connection was closed by the peer before the answer.
    std::size_t abandoned() const;

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

}

#endif
