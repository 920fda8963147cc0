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

// TCP proxy that forwards connections to a target. Connections can be
// silenced: they stay open, and the bytes of both directions are discarded.
// Must only be used on one worker.
class route : public std::enable_shared_from_this<route>
{
public:
    route(boost::asio::io_context& worker,
          boost::asio::ip::tcp::endpoint listen,
          boost::asio::ip::tcp::endpoint target);

    result<void> start();
    boost::asio::ip::tcp::endpoint listen() const;

    // Silences all open connections permanently. New ones are not affected.
    void silence_existing();
    // While true, new connections are silent from the start.
    void set_silence_new(bool value);
    // While true, the port is closed, so that connection attempts are refused.
    result<void> set_refuse(bool value);
    void close_existing();

    boost::json::object counters() const;

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    result<void> open();
    static boost::asio::awaitable<void> accept_all(std::shared_ptr<route> self);
    static boost::asio::awaitable<void> forward(std::shared_ptr<route> self,
                                                connection_ptr forwarded);
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
