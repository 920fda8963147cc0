#include "core/process/pause_detector.hpp"

namespace wisteriahatch
{

pause_detector::pause_detector(time_point now)
    : last_tick(ticks_of(now))
    , settled_at(ticks_of(now))
{
}

bool pause_detector::tick(time_point now)
{
    const auto current = ticks_of(now);
    constexpr auto gap = duration(threshold).count();
    auto last = this->last_tick.load(std::memory_order_acquire);
    while (last < current)
    {
        const bool was_paused = current - last > gap;
        // Stored before the tick, so that a thread that sees the tick also
        // sees the settling time.
        if (was_paused)
            this->settled_at.store(current + duration(settling_time).count(),
                                   std::memory_order_relaxed);
        if (this->last_tick.compare_exchange_weak(last, current,
                                                  std::memory_order_acq_rel))
            return was_paused;
    }
    return false;
}

bool pause_detector::was_recently_paused(time_point now) const
{
    const auto current = ticks_of(now);
    const auto last = this->last_tick.load(std::memory_order_acquire);
    return current - last > duration(threshold).count() ||
           current < this->settled_at.load(std::memory_order_relaxed);
}

std::int64_t pause_detector::ticks_of(time_point now)
{
    return now.time_since_epoch().count();
}

}
