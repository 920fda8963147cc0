#include "core/connection/replica_candidates.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace wisteriahatch
{

replica_candidates replica_candidates::find(const group_spec& group,
                                            const upstream_table& upstreams,
                                            time_point now)
{
    replica_candidates found;
    for (const auto& replica : group.replicas)
    {
        const auto entry = upstreams.find(replica.name);
        if (entry == upstreams.end() || entry->second->is_draining())
            continue;
        auto& list =
            entry->second->is_ejected(now) ? found.ejected : found.usable;
        list.push_back(entry->second.get());
    }
    if (found.ejected.empty())
        return found;

    const std::size_t available = found.usable.size() + found.ejected.size();
    const std::size_t max_ejected =
        std::min((group.replicas.size() + 2) / 3, available - 1);
    if (found.ejected.size() > max_ejected)
    {
        // The replicas with the worst scores stay ejected.
        std::ranges::stable_sort(found.ejected, std::greater<>(),
                                 [&](const upstream_state* replica)
                                 { return replica->score(now); });
        const auto rest =
            found.ejected.begin() + static_cast<std::ptrdiff_t>(max_ejected);
        found.usable.insert(found.usable.end(), rest, found.ejected.end());
        found.ejected.erase(rest, found.ejected.end());
    }
    return found;
}

}
