#include "core/process/upstream_subset.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <xxhash.h>

namespace wisteriahatch
{

namespace
{

// Sort key of an upstream for one instance; the lowest keys form the subset.
struct subset_key
{
    bool is_leaving = false;
    bool is_remote = false;
    std::uint64_t weight = 0;
    std::string_view id;

    bool operator<(const subset_key& other) const
    {
        return std::tie(this->is_leaving, this->is_remote, this->weight,
                        this->id) < std::tie(other.is_leaving, other.is_remote,
                                             other.weight, other.id);
    }
};

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::size_t subset_size(std::size_t upstreams,
                        const upstream_subset::options& values)
{
    if (values.fleet.view == fleet_view::settling)
        return 1;
    const double connections = static_cast<double>(upstreams) *
                               values.max_connections *
                               upstream_subset::idle_connection_ratio;
    const auto share = static_cast<std::size_t>(
        connections /
        static_cast<double>(std::max<std::size_t>(1, values.fleet.instances)));
    return std::clamp<std::size_t>(share, 1,
                                   std::max<std::size_t>(1, upstreams));
}

}

upstream_subset::upstream_subset(const upstream_group& group,
                                 const options& opts)
{
    const auto seed = hash(opts.instance, 0);
    std::vector<subset_key> order;
    order.reserve(group.size());
    for (const auto& each : group)
        order.push_back(
            {.is_leaving = each->leaving_since.has_value(),
             .is_remote = each->spec.failure_domain != opts.failure_domain,
             .weight = hash(each->spec.id, seed),
             .id = each->spec.id});
    std::ranges::sort(order, std::less<subset_key>());
    order.resize(std::min(order.size(), subset_size(group.size(), opts)));
    for (const auto& each : order)
        this->ids.emplace_back(each.id);
}

bool upstream_subset::contains(std::string_view upstream) const
{
    return std::ranges::find(this->ids, upstream) != this->ids.end();
}

std::size_t upstream_subset::size() const
{
    return this->ids.size();
}

}
