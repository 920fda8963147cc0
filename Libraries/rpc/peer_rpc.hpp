#ifndef WISTERIAHATCH_RPC_PEER_RPC_HPP
#define WISTERIAHATCH_RPC_PEER_RPC_HPP

#include <functional>
#include <memory>
#include <string>

// JSON-RPC 2.0 between instances. This header does not expose libjsonrpccpp's
// types to C++20 code, because the library's headers use dynamic exception
// specifications, which compile only up to C++14. Parameters and results are
// passed as JSON text.
namespace wisteriahatch
{

// Sends one message to a peer and returns its answer. Throws
// std::runtime_error when the peer can't be reached or does not answer in
// time.
using rpc_transport = std::function<std::string(const std::string& message)>;

// Calls a method of a peer. `parameters` is a JSON object. Returns the result
// as JSON text. Throws std::runtime_error with the message of the transport or
// the peer, or with the reason why the parameters or the response are invalid.
std::string call_peer(const rpc_transport& transport, const std::string& method,
                      const std::string& parameters);

// Handles a method call: receives the parameters and returns the result, both
// as JSON text. A thrown std::exception is returned as a JSON-RPC error.
using rpc_method = std::function<std::string(const std::string& parameters)>;

// Dispatches JSON-RPC messages to methods. Thread-safe after the last `add`.
class rpc_server
{
public:
    rpc_server();
    ~rpc_server();

    void add(const std::string& method, rpc_method handler);
    // Returns the JSON-RPC response to one message; never throws.
    std::string handle(const std::string& message);

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
