#ifndef WISTERIAHATCH_NET_HTTP_CLIENT_HPP
#define WISTERIAHATCH_NET_HTTP_CLIENT_HPP

#include "core/base/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// A reply of a server, with header names in lower case.
struct http_client_reply
{
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string, std::less<>> headers;
};

// A request for fetch and fetch_blocking.
struct http_client_request
{
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::size_t max_reply_bytes = std::size_t{2} * 1024 * 1024;
    std::chrono::milliseconds timeout{1000};
};

// Parses "IP:port". The error, invalid_settings, names the expected form.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

// Returns "IP:port".
std::string format_endpoint(const boost::asio::ip::tcp::endpoint& endpoint);

// Sends one request over a new connection. Errors: connect_failed,
// upstream_timeout, truncated_reply (also for a reply whose status is not from
// 200 to 599), reply_too_large.
boost::asio::awaitable<result<http_client_reply>>
fetch(boost::asio::ip::tcp::endpoint server, http_client_request request);

// Like fetch, but blocks the calling thread.
result<http_client_reply>
fetch_blocking(const boost::asio::ip::tcp::endpoint& server,
               const http_client_request& request);

}

#endif
