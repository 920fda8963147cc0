#ifndef WISTERIAHATCH_NET_SOCKET_BUFFERS_HPP
#define WISTERIAHATCH_NET_SOCKET_BUFFERS_HPP

#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace wisteriahatch
{

// Limits what the kernel holds for a socket in each direction to `bytes`, which
// include the kernel's own overhead.
template <class Socket>
void set_socket_buffers(Socket& socket, std::size_t bytes,
                        boost::system::error_code& failure)
{
    using boost::asio::socket_base;
    // The kernel sizes a buffer to twice the value that is set.
    constexpr std::size_t kernel_factor = 2;
    const auto value = static_cast<int>(bytes / kernel_factor);
    socket.set_option(socket_base::receive_buffer_size(value), failure);
    if (!failure)
        socket.set_option(socket_base::send_buffer_size(value), failure);
}

}

#endif
