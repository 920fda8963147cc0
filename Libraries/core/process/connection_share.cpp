#include "core/process/connection_share.hpp"

#include <algorithm>

namespace wisteriahatch
{

unsigned connection_share(const connection_bounds& known)
{
    const auto instances = std::max<std::size_t>(1, known.instances);
    const double part = usable_connection_ratio * known.max_connections /
                        static_cast<double>(instances);
    return std::clamp(static_cast<unsigned>(part), 1U, known.slots + 1);
}

}
