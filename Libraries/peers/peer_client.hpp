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
        // Runs the handlers, on the control thread. Must be set.
        boost::asio::io_context* control = nullptr;
        // Called with the bytes that each answered call sent and received, on
        // the pool thread that made the call. May be empty.
        std::function<void(std::size_t sent, std::size_t received)> count_bytes;
        std::chrono::milliseconds timeout{500};
        // Maximum number of concurrent calls; further calls wait.
        std::size_t threads = 4;
    };

    // Receives the peer's answer as JSON text, or the error of the call.
    using handler = std::function<void(result<std::string>)>;

    explicit peer_client(options opts);

    // Calls a method; `parameters` is a JSON object. The handler runs on the
    // control thread.
    void call(const std::string& address, std::string method,
              std::string parameters, handler done);
    // Waits until all calls have ended.
    void stop();

private:
    options client_options;
    boost::asio::thread_pool call_threads;
};

}

#endif
