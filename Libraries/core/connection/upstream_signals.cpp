#include "core/connection/upstream_signals.hpp"

#include <algorithm>

namespace wisteriahatch
{

namespace
{

time_point::rep to_ticks(time_point time)
{
    return time.time_since_epoch().count();
}

time_point to_time(time_point::rep ticks)
{
    return time_point(duration(ticks));
}

}

void upstream_signals::set_leaving_grace(duration value)
{
    this->grace = value.count();
}

bool upstream_signals::record_leaving(time_point now)
{
    time_point::rep unset = 0;
    return this->leaving_since.compare_exchange_strong(unset, to_ticks(now));
}

bool upstream_signals::record_pause(duration length, time_point now,
                                    double spread)
{
    const auto end = to_ticks(now + std::min<duration>(length, max_pause));
    auto known = this->pause_end.load();
    while (known < end)
        if (this->pause_end.compare_exchange_weak(known, end))
        {
            const duration step =
                std::min<duration>(length, max_return_time) / return_steps;
            this->return_step = step.count();
            this->return_delay = static_cast<duration::rep>(
                static_cast<double>(step.count()) * spread);
            return true;
        }
    return false;
}

bool upstream_signals::is_leaving() const
{
    return this->leaving_since != 0;
}

std::optional<time_point> upstream_signals::paused_until(time_point now) const
{
    const auto end = to_time(this->pause_end + this->return_delay);
    return now < end ? std::optional(end) : std::nullopt;
}

double upstream_signals::returning_share(time_point now) const
{
    const auto begin = to_time(this->pause_end + this->return_delay);
    const duration step(this->return_step);
    if (step <= duration::zero() || now >= begin + step * (return_steps - 1))
        return 1;
    const auto steps = now < begin ? 1 : (now - begin) / step + 1;
    return static_cast<double>(steps) / return_steps;
}

bool upstream_signals::may_send(time_point now) const
{
    const bool has_left =
        this->is_leaving() &&
        now >= to_time(this->leaving_since) + duration(this->grace);
    return !has_left && !this->paused_until(now);
}

bool upstream_signals::has_any() const
{
    return this->is_leaving() || this->pause_end != 0;
}

}
