#include "core/version/ownership.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>

using namespace wisteriahatch;

namespace
{

std::vector<owner_candidate> make_candidates(unsigned size, unsigned domains)
{
    std::vector<owner_candidate> candidates;
    for (unsigned at = 0; at < size; ++at)
        candidates.push_back(
            {.name = "entry-" + std::to_string(at),
             .failure_domain = "fd-" + std::to_string(at % domains)});
    return candidates;
}

}

// Guards against a plan whose connections exceed a server's limit.
TEST_CASE("connection plans follow the limit and the number of instances")
{
    struct
    {
        unsigned connections;
        unsigned instances;
        bool is_direct;
        unsigned owners;
        unsigned share;
    } const table[] = {
        {30, 12, true, 12, 2},    {110, 12, true, 12, 9}, {25, 12, true, 12, 2},
        {40, 12, true, 12, 3},    {12, 12, true, 12, 1},  {11, 12, false, 5, 1},
        {30, 4900, false, 15, 1}, {1, 2, false, 1, 1},    {30, 0, true, 1, 30},
    };
    for (const auto& row : table)
    {
        CAPTURE(row.connections);
        CAPTURE(row.instances);
        const auto plan =
            plan_connections({.connections = row.connections}, row.instances);
        CHECK(plan.is_direct == row.is_direct);
        CHECK(plan.owner_count == row.owners);
        CHECK(plan.connections_per_owner == row.share);
        CHECK(plan.owner_count * plan.connections_per_owner <= row.connections);
    }
}

// Guards against owners in one failure domain, too few owners, and instances
// listed twice.
TEST_CASE("owners are distinct and spread over failure domains")
{
    auto candidates = make_candidates(23, 4);
    candidates.push_back(candidates.front());
    for (unsigned server = 0; server < 50; ++server)
    {
        const auto name = "server-" + std::to_string(server);
        const auto owners = owners_of(name, 6, candidates);
        REQUIRE(owners.size() == 6);
        CHECK(std::set(owners.begin(), owners.end()).size() == 6);
        std::map<std::string, unsigned> per_domain;
        for (const auto& candidate : candidates)
            if (std::ranges::find(owners, candidate.name) != owners.end())
                ++per_domain[candidate.failure_domain];
        CHECK(per_domain.size() == 4);
        CHECK(std::ranges::is_sorted(owners, std::ranges::greater{},
                                     [&name](const std::string& owner) {
                                         return rendezvous_weight(owner, name);
                                     }));
    }
}

// Guards against instances that disagree because their lists differ in order,
// and against reshuffling when one instance leaves.
TEST_CASE("owners depend on the set of instances only and change little")
{
    const auto candidates = make_candidates(12, 3);
    auto reversed = candidates;
    std::ranges::reverse(reversed);
    auto smaller = candidates;
    smaller.pop_back();
    unsigned kept = 0;
    for (unsigned server = 0; server < 100; ++server)
    {
        const auto name = "server-" + std::to_string(server);
        const auto owners = owners_of(name, 3, candidates);
        CHECK(owners == owners_of(name, 3, reversed));
        for (const auto& owner : owners_of(name, 3, smaller))
            if (std::ranges::find(owners, owner) != owners.end())
                ++kept;
    }
    // One of 12 instances is the owner in about 25 of the 300 cases.
    CHECK(kept >= 240);
}

// Guards against reads past the end of a short candidate list.
TEST_CASE("fewer candidates than owners are all owners")
{
    CHECK(owners_of("s", 5, make_candidates(2, 1)).size() == 2);
    CHECK(owners_of("s", 5, {}).empty());
    CHECK(owners_of("s", 0, make_candidates(2, 1)).empty());
}
