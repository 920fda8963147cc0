#ifndef WISTERIAHATCH_GATEWAY_REQUEST_LOG_HPP
#define WISTERIAHATCH_GATEWAY_REQUEST_LOG_HPP

#include "core/process/log_rate_limiter.hpp"
#include "core/request/request_schedule.hpp"
#include "core/version/route_table.hpp"
#include "net/http_server.hpp"
#include "request_session.hpp"
#include "telemetry/forwarding_metrics.hpp"

#include <string>
#include <string_view>

namespace wisteriahatch
{

// What is known of a request before it is sent.
struct accepted_request
{
    std::string id;
    route_table_ptr routes;
    const route_spec* route = nullptr;
    time_point received;
    // Of the caller's connection.
    duration round_trip{0};
    request_schedule schedule;
    duration target_latency{0};
};

// One attempt at an upstream that has ended.
struct ended_attempt
{
    std::string_view request_id;
    std::string_view service;
    std::string_view upstream;
    attempt_outcome end = attempt_outcome::failed;
    // The status, or why there is no reply.
    std::string_view reason;
    duration elapsed{0};
};

// Logs and counts what became of each request. Requests that ended well and in
// time, complete and without a repeat, are thinned to
// max_routine_lines_per_second a second; all others are written up to
// max_notable_lines_per_second. Attempts without an answer have a bound of
// their own.
class request_log
{
public:
    static constexpr unsigned max_routine_lines_per_second = 20;
    static constexpr unsigned max_notable_lines_per_second = 200;

    explicit request_log(forwarding_metrics& measures);

    void record_end(const accepted_request& accepted,
                    const forwarded_request& outcome, unsigned status,
                    time_point now);
    void record_attempt(const ended_attempt& attempt);
    void record_abandoned(const accepted_request& accepted, time_point now);
    // A request without a route, answered with this status. `version` is 0
    // when no routes are known.
    void record_unrouted(const std::string& id, const http_request& request,
                         std::uint64_t version, duration source_age,
                         unsigned status, time_point now);

private:
    forwarding_metrics* measures;
    log_rate_limiter plain{max_routine_lines_per_second};
    log_rate_limiter other{max_notable_lines_per_second};
    log_rate_limiter attempts{max_notable_lines_per_second};
};

}

#endif
