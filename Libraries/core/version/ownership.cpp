#include "core/version/ownership.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace wisteriahatch
{

namespace
{

// While a membership change spreads, instances with the old and the new view
// may choose different owners; the connections of both sets must fit a server's
// limit.
constexpr unsigned max_concurrent_views = 2;

struct weighted_candidate
{
    const owner_candidate* candidate = nullptr;
    std::uint64_t weight = 0;
    // Number of heavier candidates in the same failure domain.
    unsigned rank_in_domain = 0;
};

bool is_heavier(const weighted_candidate& left, const weighted_candidate& right)
{
    return std::tie(right.weight, left.candidate->name) <
           std::tie(left.weight, right.candidate->name);
}

}

connection_plan plan_connections(const service_spec& service,
                                 unsigned max_entry_instances)
{
    const auto instances = std::max(max_entry_instances, 1U);
    if (instances <= service.connections)
        return {
            .is_direct = true,
            .owner_count = instances,
            .connections_per_owner = service.connections / instances,
        };
    return {
        .is_direct = false,
        .owner_count = std::clamp(service.connections / max_concurrent_views,
                                  1U, instances),
        .connections_per_owner = 1,
    };
}

std::uint64_t rendezvous_weight(std::string_view candidate,
                                std::string_view key)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<std::string> owners_of(std::string_view server, unsigned count,
                                   std::span<const owner_candidate> candidates)
{
    std::vector<weighted_candidate> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranked.push_back({.candidate = &candidate,
                          .weight = rendezvous_weight(candidate.name, server)});
    std::ranges::sort(ranked, is_heavier);
    // An instance that is listed twice must not be chosen twice.
    const auto has_same_name =
        [](const weighted_candidate& left, const weighted_candidate& right)
    { return left.candidate->name == right.candidate->name; };
    ranked.erase(std::unique(ranked.begin(), ranked.end(), has_same_name),
                 ranked.end());

    std::map<std::string_view, unsigned> candidates_per_domain;
    for (auto& entry : ranked)
        entry.rank_in_domain =
            candidates_per_domain[entry.candidate->failure_domain]++;
    std::ranges::stable_sort(ranked, {}, &weighted_candidate::rank_in_domain);
    ranked.resize(std::min<std::size_t>(count, ranked.size()));
    std::ranges::sort(ranked, is_heavier);

    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (const auto& entry : ranked)
        names.push_back(entry.candidate->name);
    return names;
}

}
