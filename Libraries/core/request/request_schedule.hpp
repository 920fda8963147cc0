#ifndef WISTERIAHATCH_CORE_REQUEST_REQUEST_SCHEDULE_HPP
#define WISTERIAHATCH_CORE_REQUEST_REQUEST_SCHEDULE_HPP

#include "core/base/time.hpp"

#include <chrono>

namespace wisteriahatch
{

// When a request is hedged, answered with the legs that are there, and given
// up.
struct request_schedule
{
    // Kept back from the caller's patience and from the target latency: timers
    // fire late, and the answer has to be put together.
    static constexpr std::chrono::milliseconds answer_margin{5};
    // Least that is kept back from the caller's patience. Callers on the same
    // network would otherwise get answers in the last moment.
    static constexpr std::chrono::milliseconds min_deadline_margin{10};
    // Part of the target latency after which a leg without an answer is hedged.
    static constexpr unsigned scattered_hedge_divisor = 3;
    // Part of the target latency after which a request to one upstream is
    // hedged.
    static constexpr double single_upstream_hedge_ratio = 0.7;

    struct options
    {
        // When the whole request was read.
        time_point received;
        // How long the caller waits, counted from its send.
        duration caller_timeout{0};
        // Counted from the caller's decision to ask, which comes before the
        // handshake of a new connection.
        duration target_latency{0};
        // Of the caller's connection; 0 where it is unknown.
        duration round_trip{0};
        bool is_first_on_connection = false;
        bool is_scattered = false;
    };

    time_point deadline;
    time_point answer_by;
    duration hedge_delay{0};
};

// Half of the patience, and half of the target latency, are always used: a
// round trip that was measured during a disturbance may exceed both.
request_schedule make_schedule(const request_schedule::options& known);

}

#endif
