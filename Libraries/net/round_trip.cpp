#include "net/round_trip.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wisteriahatch
{

duration round_trip(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                     &length) != 0)
        return duration::zero();
    return std::chrono::microseconds(info.tcpi_rtt);
}

}
