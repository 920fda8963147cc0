#ifndef WISTERIAHATCH_LOAD_KEEP_ALIVE_CLIENT_HPP
#define WISTERIAHATCH_LOAD_KEEP_ALIVE_CLIENT_HPP

#include "core/base/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace wisteriahatch
{

// How an exchange with an entry ended.
enum class exchange_outcome : std::uint8_t
{
    replied,
    // No byte of the request was written.
    connect_failed,
    // The connection was closed or reset after connecting and before the whole
    // reply was received.
    cut,
    timed_out,
    // No connection became free in time.
    no_connection,
    malformed_reply,
};

// The reply, or how the exchange ended without one.
struct exchange_result
{
    exchange_outcome outcome = exchange_outcome::connect_failed;
    unsigned status = 0;
    std::string body;
    // True if the connection had carried an earlier request.
    bool was_reused = false;
};

// One request to one server.
struct exchange_request
{
    boost::asio::ip::tcp::endpoint server;
    std::string method = "POST";
    std::string target;
    std::string body;
    // Time at which the exchange is abandoned if it has no reply yet.
    time_point expiry;
};

// HTTP/1.1 client with persistent connections and a limit on their number over
// all servers. Not thread-safe.
class keep_alive_client
{
public:
    keep_alive_client(boost::asio::io_context& context,
                      unsigned max_connections);
    ~keep_alive_client();

    boost::asio::awaitable<exchange_result> exchange(exchange_request request);

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
