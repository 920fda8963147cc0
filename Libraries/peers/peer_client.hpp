#ifndef WISTERIAHATCH_PEERS_PEER_CLIENT_HPP
#define WISTERIAHATCH_PEERS_PEER_CLIENT_HPP

#include "core/base/error.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace wisteriahatch
{

// Calls control methods of other instances without blocking the control
// thread.
class peer_client
{
public:
    struct options
    {
        // Answers are handed over here.
        boost::asio::io_context* control = nullptr;
        // Called with the bytes of each call, on the thread that made it; may
        // be empty.
        std::function<void(std::size_t sent, std::size_t received)> count_bytes;
        std::chrono::milliseconds timeout{500};
        // Calls under way at once; more wait for a thread.
        std::size_t threads = 4;
    };

    // The peer's answer as JSON text, or why there is none.
    using handler = std::function<void(result<std::string>)>;

    explicit peer_client(options values);

    // Calls a method; `parameters` is a JSON object. The handler runs on the
    // control thread.
    void call(const std::string& address, std::string method,
              std::string parameters, handler done);
    // Waits for the calls under way.
    void stop();

private:
    options chosen;
    boost::asio::thread_pool callers;
};

}

#endif
