#ifndef WISTERIAHATCH_GATEWAY_FORWARDER_HPP
#define WISTERIAHATCH_GATEWAY_FORWARDER_HPP

#include "gateway_state.hpp"
#include "net/forwarding_header_names.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"
#include "request_log.hpp"
#include "request_session.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Answers callers' requests: finds the route, forwards the request to upstreams
// and makes the reply from the outcome.
class forwarder
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        gateway_state* state = nullptr;
        upstream_pool* upstreams = nullptr;
        std::shared_ptr<const upstream_dialect> dialect;
        forwarding_header_names header_names;
        std::string failure_domain;
        forwarding_metrics* measures = nullptr;
        // See request_session.
        std::function<void()> handle_cold = {};
    };

    explicit forwarder(options opts);

    boost::asio::awaitable<http_reply> handle(http_request request);
    // From now on requests are refused without being sent, so that their
    // callers can ask another instance.
    void refuse_requests();
    // Ends the requests that are still running: each gets a final answer.
    void expire_requests();
    // Withdraws the calls to evacuated failure domains that have not been sent,
    // so that their requests use other upstreams.
    void withdraw_evacuated();

private:
    boost::asio::awaitable<http_reply> forward(http_request request,
                                               accepted_request accepted,
                                               fan_out::options plan);
    // Decides, where requests are admitted by their cost to callers, whether
    // this one starts. It may wait for the decision.
    boost::asio::awaitable<request_admission::decision>
    admit(const http_request& request, const accepted_request& accepted,
          const fan_out::options& plan);
    http_reply refuse_admission(const accepted_request& accepted,
                                const request_admission::decision& refusal);
    // Refuses a request for whose legs there is no memory.
    http_reply refuse_without_memory(const accepted_request& accepted);
    // Answers a request that matches no route: 503 when the routes are unknown
    // or may be stale, otherwise 404.
    http_reply refuse_unrouted(const http_request& request,
                               const std::string& id);
    http_reply refuse_at_shutdown(const std::string& id);
    // Returns null where requests are not admitted by their cost.
    load_estimate* load();
    http_reply abandon(const accepted_request& accepted);
    fan_out::options make_plan(const accepted_request& accepted);
    http_reply make_reply(const accepted_request& accepted,
                          forwarded_request outcome);
    http_reply merge(const route_spec& route,
                     const forwarded_request& outcome) const;

    options config;
    request_log log;
    std::set<std::shared_ptr<request_session>> running;
    bool is_refusing = false;
};

}

#endif
