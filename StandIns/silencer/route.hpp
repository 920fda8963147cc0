#ifndef WISTERIAHATCH_STANDINS_SILENCER_ROUTE_HPP
#define WISTERIAHATCH_STANDINS_SILENCER_ROUTE_HPP

#include "core/base/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <memory>
#include <set>

namespace wisteriahatch
{

// Passes TCP connections on to a target. Connections can be made silent: they
// stay open and swallow the bytes of both directions. Belongs to one worker.
class route : public std::enable_shared_from_this<route>
{
public:
    route(boost::asio::io_context& worker,
          boost::asio::ip::tcp::endpoint listen,
          boost::asio::ip::tcp::endpoint target);

    result<void> start();
    boost::asio::ip::tcp::endpoint listen() const;

    // The connections of this moment swallow bytes for good; new ones work.
    void silence_existing();
    // New connections swallow bytes from the start while true.
    void set_silence_new(bool value);
    // While true the port is closed: connecting is refused.
    result<void> set_refuse(bool value);
    // Closes every connection.
    void close_existing();

    boost::json::object counters() const;

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    result<void> open();
    static boost::asio::awaitable<void> accept_all(std::shared_ptr<route> self);
    static boost::asio::awaitable<void> pass(std::shared_ptr<route> self,
                                             connection_ptr passed);
    static boost::asio::awaitable<void> copy(std::shared_ptr<route> self,
                                             connection_ptr copied,
                                             boost::asio::ip::tcp::socket* from,
                                             boost::asio::ip::tcp::socket* to);

    boost::asio::io_context& worker;
    boost::asio::ip::tcp::endpoint address;
    boost::asio::ip::tcp::endpoint target;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<connection_ptr> connections;
    bool silences_new = false;
    std::uint64_t accepted = 0;
    std::uint64_t silenced = 0;
    std::uint64_t bytes_passed = 0;
    std::uint64_t bytes_swallowed = 0;
};

}

#endif
