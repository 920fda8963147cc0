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
    this->most_seen = std::max(this->most_seen, seen);
    const bool is_settled = now - this->started > settling_time;
    const auto next = is_settled ? this->most_seen
                                 : std::max(initial_instances, this->most_seen);
    const bool has_changed = next != this->current;
    this->current = next;
    return has_changed;
}

std::size_t fleet_size_estimate::instances() const
{
    return this->current;
}

}
