#ifndef WISTERIAHATCH_NET_BEAST_HPP
#define WISTERIAHATCH_NET_BEAST_HPP

#include "net/store_error.hpp"

// Boost.Beast for the .cpp files of this folder. Public headers do not include
// it, because it adds seconds to the compile time of every file.
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

namespace wisteriahatch
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// Maximum number of received bytes that wait to be parsed. Beast needs a whole
// chunk header or trailer at once and does not limit their length, so that a
// peer could fill the memory with one that never ends.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

// True for errors of Beast's HTTP parser, as opposed to those of the socket.
inline bool is_http_error(const error_code& failure)
{
    static const auto& category =
        http::make_error_code(http::error::end_of_stream).category();
    return failure.category() == category;
}

}

#endif
