#ifndef WISTERIAHATCH_NET_STORE_ERROR_HPP
#define WISTERIAHATCH_NET_STORE_ERROR_HPP

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace wisteriahatch
{

// Completion token for coroutines that stores the error in `failure` instead
// of throwing it.
inline auto store_error(boost::system::error_code& failure)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
}

}

#endif
