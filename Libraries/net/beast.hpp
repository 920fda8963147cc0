#ifndef WISTERIAHATCH_NET_BEAST_HPP
#define WISTERIAHATCH_NET_BEAST_HPP

#include "net/store_error.hpp"

// Boost.Beast for the .cpp files of this folder. Public headers do not include
// it, because it adds seconds to the compile time of every file.
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace wisteriahatch
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// True for errors of Beast's HTTP parser, as opposed to those of the socket.
inline bool is_http_error(const error_code& failure)
{
    static const auto& category =
        http::make_error_code(http::error::end_of_stream).category();
    return failure.category() == category;
}

}

#endif
