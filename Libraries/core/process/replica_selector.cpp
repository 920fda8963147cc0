#include "core/process/replica_selector.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

namespace wisteriahatch
{

namespace
{

// Scores within 10% of each other are ties, because the smoothed latencies of
// equal replicas fluctuate by more than that.
constexpr double tie_ratio = 0.9;

upstream_state* random_candidate(std::span<upstream_state* const> candidates,
                                 std::mt19937_64& random)
{
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    return candidates[index(random)];
}

// Returns whether `left` wins a tie. A replica in this instance's failure
// domain is preferred, then the one with the lower reported load.
bool wins_tie(const upstream_state& left, const upstream_state& right,
              std::string_view failure_domain)
{
    const bool is_left_local = left.failure_domain() == failure_domain;
    const bool is_right_local = right.failure_domain() == failure_domain;
    if (is_left_local != is_right_local)
        return is_left_local;
    return left.reported_load() < right.reported_load();
}

class random_selector : public replica_selector
{
public:
    upstream_state* choose(std::span<upstream_state* const> candidates,
                           std::string_view, time_point,
                           std::mt19937_64& random) const override
    {
        return random_candidate(candidates, random);
    }
};

class least_in_flight_selector : public replica_selector
{
public:
    upstream_state* choose(std::span<upstream_state* const> candidates,
                           std::string_view failure_domain, time_point,
                           std::mt19937_64& random) const override
    {
        // Starting at a random candidate spreads full ties over all of them.
        upstream_state* best = random_candidate(candidates, random);
        for (upstream_state* candidate : candidates)
        {
            const unsigned in_flight = candidate->in_flight();
            if (in_flight < best->in_flight() ||
                (in_flight == best->in_flight() &&
                 wins_tie(*candidate, *best, failure_domain)))
                best = candidate;
        }
        return best;
    }
};

class two_choices_selector : public replica_selector
{
public:
    upstream_state* choose(std::span<upstream_state* const> candidates,
                           std::string_view failure_domain, time_point now,
                           std::mt19937_64& random) const override
    {
        if (candidates.size() < 2)
            return random_candidate(candidates, random);
        std::array<upstream_state*, 2> pair{};
        std::ranges::sample(candidates, pair.begin(), pair.size(), random);
        // The sample preserves the order of the candidates.
        if (random() % 2 == 0)
            std::swap(pair[0], pair[1]);

        const double first = pair[0]->score(now);
        const double second = pair[1]->score(now);
        if (std::min(first, second) < tie_ratio * std::max(first, second))
            return first < second ? pair[0] : pair[1];
        return wins_tie(*pair[1], *pair[0], failure_domain) ? pair[1] : pair[0];
    }
};

}

std::unique_ptr<replica_selector> make_replica_selector(std::string_view name)
{
    if (name == "random")
        return std::make_unique<random_selector>();
    if (name == "least_in_flight")
        return std::make_unique<least_in_flight_selector>();
    if (name == "two_choices")
        return std::make_unique<two_choices_selector>();
    return nullptr;
}

}
