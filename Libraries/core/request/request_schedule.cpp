#include "core/request/request_schedule.hpp"

#include <algorithm>

namespace wisteriahatch
{

request_schedule make_schedule(const request_schedule::options& values)
{
    const auto handshake =
        values.is_first_on_connection ? values.round_trip : duration::zero();
    const auto margin = values.round_trip + request_schedule::answer_margin;
    const auto deadline_margin =
        std::max<duration>(margin, request_schedule::min_deadline_margin);
    const auto target = values.target_latency;

    request_schedule schedule;
    schedule.deadline =
        values.received + std::max(values.caller_timeout / 2,
                                   values.caller_timeout - deadline_margin);
    schedule.answer_by =
        values.received + std::max(target / 2, target - margin - handshake);
    schedule.hedge_delay =
        values.is_scattered
            ? target / request_schedule::scattered_hedge_divisor
            : std::chrono::duration_cast<duration>(
                  target * request_schedule::single_upstream_hedge_ratio);
    return schedule;
}

}
