#include "core/version/index_selector.hpp"

#include "core/connection/replica_candidates.hpp"

#include <algorithm>
#include <vector>

namespace wisteriahatch
{

index_choice select_index(const service_spec& service,
                          const upstream_table& upstreams, time_point now,
                          std::optional<index_version> excluded)
{
    std::vector<replica_candidates> groups;
    groups.reserve(service.groups.size());
    for (const auto& group : service.groups)
        groups.push_back(replica_candidates::find(group, upstreams, now));

    index_choice best;
    for (const auto& index : service.indexes)
    {
        if (excluded == index.version)
            continue;
        const auto servable = static_cast<std::size_t>(std::ranges::count_if(
            index.shards,
            [&](const shard_spec& shard)
            {
                return std::ranges::any_of(
                    groups[shard.group].usable,
                    [&](const upstream_state* replica)
                    { return replica->may_hold(index.version); });
            }));
        if (servable == index.shards.size())
            return {.index = &index, .servable_shards = servable};
        // The indexes are sorted newest first, so a tie keeps the newest.
        if (best.index == nullptr || servable > best.servable_shards)
            best = {.index = &index, .servable_shards = servable};
    }
    return best;
}

}
