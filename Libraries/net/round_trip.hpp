#ifndef WISTERIAHATCH_NET_ROUND_TRIP_HPP
#define WISTERIAHATCH_NET_ROUND_TRIP_HPP

#include "core/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace wisteriahatch
{

// Returns the kernel's smoothed round-trip time of a connection (RFC 6298); 0
// when it is unknown.
duration round_trip(boost::asio::ip::tcp::socket& socket);

}

#endif
