#include "core/process/fleet_size_estimate.hpp"

namespace wisteriahatch
{

fleet_size_estimate::fleet_size_estimate(time_point now)
    : started(now)
    , last_growth(now)
{
}

bool fleet_size_estimate::update(std::size_t seen, time_point now)
{
    const auto previous = this->current;
    if (seen > this->current.instances)
    {
        this->current.instances = seen;
        this->last_growth = now;
    }
    if (this->is_settled_at(now))
        this->current.view = fleet_view::settled;
    return this->current.view == fleet_view::settled &&
           this->current != previous;
}

const fleet_size& fleet_size_estimate::size() const
{
    return this->current;
}

bool fleet_size_estimate::is_settled_at(time_point now) const
{
    const auto age = now - this->started;
    const bool is_stable = now - this->last_growth > stable_time;
    return (age > min_settling_time && is_stable) || age > max_settling_time;
}

}
