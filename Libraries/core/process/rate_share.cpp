#include "core/process/rate_share.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <xxhash.h>

namespace wisteriahatch
{

namespace
{

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Returns the member's key in weighted rendezvous hashing; the lowest keys are
// holders.
double rendezvous_key(const rate_limit_member& member, std::uint64_t seed,
                      std::string_view failure_domain)
{
    const auto number = static_cast<double>(hash(member.address, seed));
    const double fraction =
        (number + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    const double weight =
        member.failure_domain == failure_domain ? same_domain_weight : 1;
    return -std::log(fraction) / weight;
}

// Returns whether this instance is one of the first `count` live members in the
// upstream's order of preference.
bool is_among_first(const rate_limit_fleet& fleet, std::string_view upstream,
                    std::string_view failure_domain, std::size_t count)
{
    const auto own = std::ranges::find(fleet.live, fleet.own_address,
                                       &rate_limit_member::address);
    if (own == fleet.live.end())
        return false;
    const auto seed = hash(upstream, 0);
    const double own_key = rendezvous_key(*own, seed, failure_domain);
    const auto better = std::ranges::count_if(
        fleet.live, [&](const rate_limit_member& each)
        { return rendezvous_key(each, seed, failure_domain) < own_key; });
    return static_cast<std::size_t>(better) < count;
}

std::size_t instance_count(const rate_limit_fleet& fleet)
{
    return std::max({std::size_t{1}, fleet.size.instances, fleet.live.size()});
}

}

std::size_t holder_count(double per_second, std::size_t instances)
{
    const double limit = std::max(per_second, min_limit) * holders_per_rate;
    // A limit may be too large for an integer.
    const auto bounded = std::min(limit, static_cast<double>(instances));
    return std::min(instances,
                    static_cast<std::size_t>(bounded) + extra_holders);
}

bool is_holder(const rate_limit_fleet& fleet, std::string_view upstream,
               std::string_view failure_domain, double per_second)
{
    if (fleet.size.view == fleet_view::settling)
        return false;
    const auto instances = instance_count(fleet);
    const auto holders = holder_count(per_second, instances);
    const double live_ratio =
        static_cast<double>(fleet.live.size()) / static_cast<double>(instances);
    const auto live_holders = std::max<std::size_t>(
        1, static_cast<std::size_t>(
               std::lround(static_cast<double>(holders) * live_ratio)));
    return is_among_first(fleet, upstream, failure_domain, live_holders);
}

double holder_share(const rate_limit_fleet& fleet, double per_second,
                    double demand_ratio)
{
    const auto holders =
        static_cast<double>(holder_count(per_second, instance_count(fleet)));
    const double usable = std::max(per_second, min_limit) * usable_rate_ratio;
    return usable / holders *
           std::clamp(demand_ratio, min_demand_ratio, holders);
}

warm_up_limit make_warm_up_limit(const warm_up_bound& bound, double per_second,
                                 const rate_limit_fleet& fleet)
{
    const double usable =
        (per_second * bound.overload + bound.slack) * usable_warm_up_ratio;
    // A limit may be too large for an integer.
    const double count =
        std::clamp(usable / 2, 1.0, static_cast<double>(instance_count(fleet)));
    const auto holders = static_cast<std::size_t>(count);
    const double rate =
        std::min(per_second, usable - static_cast<double>(holders));
    if (!(rate > 0))
        return {};
    return {.holders = holders, .share = rate / static_cast<double>(holders)};
}

bool is_warm_up_holder(const rate_limit_fleet& fleet, std::string_view upstream,
                       std::string_view failure_domain, std::size_t holders)
{
    const auto instances = instance_count(fleet);
    const bool is_alone = fleet.live.size() == 1 && instances > 1;
    if (fleet.size.view == fleet_view::settling || is_alone)
        return false;
    const auto live_holders = holders * fleet.live.size() / instances;
    return is_among_first(fleet, upstream, failure_domain, live_holders);
}

}
