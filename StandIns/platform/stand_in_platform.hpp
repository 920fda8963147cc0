#ifndef WISTERIAHATCH_STANDINS_PLATFORM_STAND_IN_PLATFORM_HPP
#define WISTERIAHATCH_STANDINS_PLATFORM_STAND_IN_PLATFORM_HPP

#include "net/http_server.hpp"
#include "net/http_target.hpp"
#include "StandIns/platform/published_value.hpp"

#include <string>

namespace wisteriahatch
{

// Stands in for the platform's configuration service and instance list.
// `workers` must have exactly one worker, on which all requests are handled.
class stand_in_platform
{
public:
    stand_in_platform(worker_pool& workers,
                      boost::asio::ip::tcp::endpoint listen);

    result<void> start();
    boost::asio::ip::tcp::endpoint endpoint() const;

    void put_document(std::string bytes);
    // Publishes the array of {"instances":[...]}. Returns malformed_request
    // for any other body.
    result<void> put_instances(const std::string& body);

private:
    boost::asio::awaitable<http_reply> handle(http_request request);
    boost::asio::awaitable<http_reply> handle_read(published_value& value,
                                                   const http_target& target);
    http_reply handle_control(const std::string& body);
    http_reply make_counters_reply() const;

    published_value document;
    published_value instances;
    http_server server;
};

}

#endif
