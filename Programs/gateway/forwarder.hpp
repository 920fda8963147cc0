#ifndef WISTERIAHATCH_GATEWAY_FORWARDER_HPP
#define WISTERIAHATCH_GATEWAY_FORWARDER_HPP

#include "gateway_state.hpp"
#include "net/forwarding_headers.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"
#include "request_session.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Answers callers' requests: finds the route, has the request sent, and turns
// the end into a reply.
class forwarder
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        gateway_state* state = nullptr;
        upstream_pool* upstreams = nullptr;
        std::shared_ptr<const upstream_dialect> dialect;
        forwarding_headers names;
        std::string failure_domain;
    };

    explicit forwarder(options values);

    boost::asio::awaitable<http_reply> handle(http_request request);

private:
    // What is known of a request before it is sent.
    struct accepted_request
    {
        std::string id;
        route_table_ptr routes;
        const route_spec* route = nullptr;
        // The services of its legs.
        std::vector<std::string> services;
        time_point received;
        time_point deadline;
        duration target_latency{0};
    };

    boost::asio::awaitable<http_reply> forward(http_request request,
                                               accepted_request accepted);
    // Decides why a request without a route is refused.
    http_reply refuse_unrouted(const http_request& request,
                               const std::string& id) const;
    fan_out::options make_plan(const accepted_request& accepted);
    http_reply make_reply(const accepted_request& accepted,
                          forwarded_request outcome) const;
    http_reply merge(const route_spec& route,
                     const forwarded_request& outcome) const;
    static void log_outcome(const accepted_request& accepted,
                            const forwarded_request& outcome, unsigned status);

    options chosen;
};

}

#endif
