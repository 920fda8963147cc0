#ifndef WISTERIAHATCH_ENTRY_ADMIN_API_HPP
#define WISTERIAHATCH_ENTRY_ADMIN_API_HPP

#include "control_loop.hpp"
#include "net/http_server.hpp"
#include "telemetry/metrics.hpp"

#include <string>

namespace wisteriahatch
{

// Handles the admin port: GET /live, /ready, /status and /metrics.
class admin_api
{
public:
    struct options
    {
        const settings* values = nullptr;
        const control_loop* control = nullptr;
        const metrics* measures = nullptr;
        incarnation self;
    };

    explicit admin_api(options opts);

    boost::asio::awaitable<http_reply> handle(http_request request);

private:
    http_reply live() const;
    http_reply ready() const;
    http_reply status() const;
    http_reply export_metrics() const;

    options config;
};

}

#endif
