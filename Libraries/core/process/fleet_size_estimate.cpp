#include "core/process/fleet_size_estimate.hpp"

#include <algorithm>

namespace wisteriahatch
{

fleet_size_estimate::fleet_size_estimate(time_point now)
    : started(now)
{
}

bool fleet_size_estimate::update(std::size_t seen, time_point now)
{
    this->max_seen = std::max(this->max_seen, seen);
    const bool is_settled = now - this->started > settling_time;
    const auto estimate = is_settled
                              ? this->max_seen
                              : std::max(initial_instances, this->max_seen);
    const bool has_changed = estimate != this->current;
    this->current = estimate;
    return has_changed;
}

std::size_t fleet_size_estimate::instances() const
{
    return this->current;
}

}
