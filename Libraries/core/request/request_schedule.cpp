#include "core/request/request_schedule.hpp"

#include <algorithm>

namespace wisteriahatch
{

request_schedule make_schedule(const request_schedule::options& known)
{
    const auto handshake =
        known.is_first_on_connection ? known.round_trip : duration::zero();
    const auto margin = known.round_trip + request_schedule::answer_margin;
    const auto deadline_margin =
        std::max<duration>(margin, request_schedule::min_deadline_margin);
    const auto target = known.target_latency;

    request_schedule schedule;
    schedule.deadline =
        known.received + std::max(known.caller_timeout / 2,
                                  known.caller_timeout - deadline_margin);
    schedule.answer_by =
        known.received + std::max(target / 2, target - margin - handshake);
    schedule.hedge_delay =
        known.is_scattered
            ? target / request_schedule::scattered_hedge_divisor
            : std::chrono::duration_cast<duration>(
                  target * request_schedule::single_upstream_hedge_ratio);
    return schedule;
}

}
