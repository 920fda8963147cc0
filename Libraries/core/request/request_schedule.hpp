#ifndef WISTERIAHATCH_CORE_REQUEST_REQUEST_SCHEDULE_HPP
#define WISTERIAHATCH_CORE_REQUEST_REQUEST_SCHEDULE_HPP

#include "core/base/time.hpp"

#include <chrono>

namespace wisteriahatch
{

// The times at which a request is hedged, answered with the legs received so
// far, and given up.
struct request_schedule
{
    // Subtracted from the caller's timeout and from the target latency, because
    // timers fire late and merging the answer takes time.
    static constexpr std::chrono::milliseconds answer_margin{5};
    // Lower bound of the time subtracted from the caller's timeout. Without it
    // callers on the same network would get answers just before they time out.
    static constexpr std::chrono::milliseconds min_deadline_margin{10};
    // A leg of a scattered request is hedged after the target latency divided
    // by this number.
    static constexpr unsigned scattered_hedge_divisor = 3;
    // A request to a single upstream is hedged after this fraction of the
    // target latency.
    static constexpr double single_upstream_hedge_ratio = 0.7;

    struct options
    {
        // Time at which the request had been read completely.
        time_point received;
        // How long the caller waits, counted from when it sent the request.
        duration caller_timeout{0};
        // Counted from the time at which the caller starts the request,
        // including the handshake of a new connection.
        duration target_latency{0};
        // Round-trip time of the caller's connection; 0 if unknown.
        duration round_trip{0};
        bool is_first_on_connection = false;
        bool is_scattered = false;
    };

    time_point deadline;
    time_point answer_by;
    duration hedge_delay{0};
};

// Leaves at least half of the caller's timeout and half of the target latency
// to the request, because a round trip measured during a network disturbance
// may exceed both.
request_schedule make_schedule(const request_schedule::options& values);

}

#endif
