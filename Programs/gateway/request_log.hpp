#ifndef WISTERIAHATCH_GATEWAY_REQUEST_LOG_HPP
#define WISTERIAHATCH_GATEWAY_REQUEST_LOG_HPP

#include "core/process/log_rate_limiter.hpp"
#include "core/process/rate_limit_report.hpp"
#include "core/request/request_schedule.hpp"
#include "core/version/route_table.hpp"
#include "net/http_server.hpp"
#include "request_session.hpp"
#include "telemetry/forwarding_metrics.hpp"

#include <string>
#include <string_view>

namespace wisteriahatch
{

// A caller's request with its route and schedule, before it is sent to
// upstreams.
struct accepted_request
{
    std::string id;
    route_table_ptr routes;
    const route_spec* route = nullptr;
    time_point received;
    // Round-trip time of the caller's connection.
    duration round_trip{0};
    request_schedule schedule;
    duration target_latency{0};
    // How long the caller still waited when it sent the request.
    duration caller_timeout{0};
};

// An attempt to send a request to an upstream, after its end.
struct ended_attempt
{
    std::string_view request_id;
    std::string_view service;
    std::string_view upstream;
    attempt_outcome end = attempt_outcome::failed;
    // The reply's status, or why there is no reply.
    std::string_view reason;
    duration elapsed{0};
};

// Logs a changed rate limit. `origin` says who reported it.
void log_rate_limit(const rate_limit_report& report, std::string_view origin);

// Logs and counts the outcome of each request. Requests that were answered
// completely, within the target latency and without a repeat are routine; all
// others are notable. Each kind has its own limit of log lines, and so have
// attempts without an answer.
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
    // Records a request that was answered with `status` without being sent.
    void record_refused(const std::string& id, std::string_view reason,
                        unsigned status, time_point now);
    // Records a request that was refused because of the upstreams' load.
    void record_not_admitted(const accepted_request& accepted,
                             std::string_view reason, unsigned status,
                             duration retry_after, time_point now);
    // Counts a decision on a request: "started", "waited" or "refused_" and the
    // reason.
    void count_admission(const accepted_request& accepted,
                         std::string_view decision);
    // Records a request that matches no route and was answered with `status`.
    // `version` is 0 when no routes are known.
    void record_unrouted(const std::string& id, const http_request& request,
                         std::uint64_t version, duration source_age,
                         unsigned status, time_point now);

private:
    forwarding_metrics* measures;
    log_rate_limiter routine_lines{max_routine_lines_per_second};
    log_rate_limiter notable_lines{max_notable_lines_per_second};
    log_rate_limiter attempt_lines{max_notable_lines_per_second};
};

}

#endif
