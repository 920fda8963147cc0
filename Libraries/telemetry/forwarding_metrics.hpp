#ifndef WISTERIAHATCH_TELEMETRY_FORWARDING_METRICS_HPP
#define WISTERIAHATCH_TELEMETRY_FORWARDING_METRICS_HPP

#include "core/base/time.hpp"
#include "telemetry/instance_gauges.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Effects of the signals of upstreams since the process started.
struct upstream_signal_counts
{
    std::uint64_t pauses = 0;
    std::uint64_t left = 0;
    std::uint64_t withheld = 0;
};

// Metrics of a process that forwards requests. Label values beyond the first
// max_label_values of each label are counted together as "other", because
// routes and services are added and removed at run time.
class forwarding_metrics
{
public:
    static constexpr std::size_t max_label_values = 200;

    forwarding_metrics();
    ~forwarding_metrics();

    // Records the latency of an answered request, by route and status.
    void observe_request(std::string_view route, unsigned status,
                         duration latency);
    // Records the share of the shards in a merged answer, by route.
    void observe_coverage(std::string_view route, double coverage);
    // Counts an ended attempt at an upstream, by service and outcome.
    void count_attempt(std::string_view service, std::string_view outcome);
    // Counts sends beyond the first of a leg, by route.
    void count_repeats(std::string_view route, double count);
    // Counts sends that the retry budget did not allow, by route.
    void count_denied_repeats(std::string_view route, double count);
    // Count what upstreams have signalled in their replies: that they want a
    // pause or leave, and calls that were therefore not sent.
    void count_pause();
    void count_left_upstream();
    void count_withheld_send();
    // Returns these counts.
    upstream_signal_counts signal_counts() const;
    // Counts a decision whether to start a request, by route.
    void count_admission(std::string_view route, std::string_view decision);
    // Sets the part of a route's requests for which upstreams have room.
    void set_room(std::string_view route, double part);
    // Sets the number of repeats that this instance may send at once, by
    // service.
    void set_repeat_tokens(std::string_view service, double tokens);
    // Gauges of current values.
    void set_routes_version(double version);
    void set_source_age(duration age);
    void set_upstreams(double count);
    void set_ejected_upstreams(double count);
    // Attempts that wait for a connection or an answer.
    void set_running_attempts(double count);
    // Upstreams that state a limit on their rate of requests.
    void set_limited_upstreams(double count);
    // Failure domains whose upstreams get no requests.
    void set_evacuated_domains(double count);
    // Upstreams that are cold.
    void set_cold_upstreams(double count);
    // Counts sends that were withheld because the upstream was cold.
    void count_cold_withheld(double count);
    void set_dropped_log_lines(double count);

    // Returns the gauges that every instance exports.
    instance_gauges& instance();

    // Returns all metrics in the text exposition format, for GET /metrics.
    std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
