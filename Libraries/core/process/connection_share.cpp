#include "core/process/connection_share.hpp"

#include <algorithm>

namespace wisteriahatch
{

unsigned connection_share(const connection_bounds& bounds)
{
    const auto min_instances = bounds.fleet.view == fleet_view::settling
                                   ? assumed_instances
                                   : std::size_t{1};
    const auto instances = std::max(min_instances, bounds.fleet.instances);
    const double share = usable_connection_ratio * bounds.max_connections /
                         static_cast<double>(instances);
    return std::clamp(static_cast<unsigned>(share), 1U, bounds.slots + 1);
}

unsigned reduce_share(unsigned share, std::size_t total, std::size_t max_total)
{
    if (total <= max_total)
        return share;
    const auto reduced = share * max_total / total;
    return std::max(1U, static_cast<unsigned>(reduced));
}

}
