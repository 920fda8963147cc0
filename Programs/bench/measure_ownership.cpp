#include "core/version/ownership.hpp"
#include "measures.hpp"

#include <set>
#include <string>
#include <vector>

namespace wisteriahatch
{

namespace
{

constexpr const char* role = "relay";
constexpr std::size_t servers = 1000;
// Owners of a server whose connection limit is 30.
constexpr unsigned owner_count = 15;
constexpr std::size_t failure_domain_count = 23;

std::vector<owner_candidate> make_candidates(std::size_t members)
{
    std::vector<owner_candidate> candidates;
    for (std::size_t index = 0; index < members; ++index)
    {
        candidates.push_back(
            {.name = "entry-" + std::to_string(index),
             .failure_domain =
                 "fd-" + std::to_string(
                             index % std::min(members, failure_domain_count))});
    }
    return candidates;
}

std::string server_name(std::size_t index)
{
    return "server-" + std::to_string(index);
}

// Changes of the owners of all servers after candidates leave.
struct owner_moves
{
    // Servers with at least one new owner.
    double servers_changed = 0;
    // Owners that the server did not have before, over all servers.
    double places_changed = 0;
};

owner_moves count_moves(const std::vector<owner_candidate>& before,
                        const std::vector<owner_candidate>& after)
{
    owner_moves moves;
    for (std::size_t index = 0; index < servers; ++index)
    {
        const auto old_owners =
            owners_of(server_name(index), owner_count, before);
        const std::set<std::string> previous(old_owners.begin(),
                                             old_owners.end());
        const auto new_owners =
            owners_of(server_name(index), owner_count, after);
        std::size_t added = 0;
        for (const auto& owner : new_owners)
            added += previous.contains(owner) ? 0 : 1;
        moves.places_changed += static_cast<double>(added);
        moves.servers_changed += added > 0 ? 1 : 0;
    }
    return moves;
}

}

measurements measure_owner_moves(const bench_options& options)
{
    const auto all = make_candidates(options.size);
    auto without_one = all;
    without_one.erase(without_one.begin());
    auto without_domain = all;
    std::erase_if(without_domain, [](const owner_candidate& candidate)
                  { return candidate.failure_domain == "fd-0"; });
    const owner_moves one = count_moves(all, without_one);
    const owner_moves domain = count_moves(all, without_domain);
    constexpr auto places = static_cast<double>(servers * owner_count);
    return {{role, "servers_changed_by_one_instance", options.size,
             one.servers_changed / servers, "ratio"},
            {role, "places_changed_by_one_instance", options.size,
             one.places_changed / places, "ratio"},
            {role, "servers_changed_by_one_domain", options.size,
             domain.servers_changed / servers, "ratio"},
            {role, "places_changed_by_one_domain", options.size,
             domain.places_changed / places, "ratio"}};
}

measurements measure_ownership(const bench_options& options)
{
    const auto candidates = make_candidates(options.size);
    std::size_t chosen = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
        chosen +=
            owners_of(server_name(iteration), owner_count, candidates).size();
    return {{role, "owners_found", options.size, static_cast<double>(chosen),
             "owners"}};
}

}
