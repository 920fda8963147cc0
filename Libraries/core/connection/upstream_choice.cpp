#include "core/connection/upstream_choice.hpp"

#include <tuple>

namespace wisteriahatch
{

namespace
{

// Scores are spread by up to this share, so that instances with equal views do
// not all choose the same upstream.
constexpr double score_spread = 0.2;

// In the unit of scores.
double to_score(std::chrono::nanoseconds time)
{
    return static_cast<double>(time.count());
}

// Ranks an upstream; the lowest rank is chosen.
struct upstream_rank
{
    bool is_leaving = false;
    bool is_ejected = false;
    double score = 0;

    bool operator<(const upstream_rank& other) const
    {
        return std::tie(this->is_leaving, this->is_ejected, this->score) <
               std::tie(other.is_leaving, other.is_ejected, other.score);
    }
};

}

registered_upstream_ptr choose_upstream(const upstream_group& group,
                                        std::string_view failure_domain,
                                        time_point now, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> spread(1, 1 + score_spread);
    registered_upstream_ptr best;
    upstream_rank best_rank;
    for (const auto& each : group)
    {
        if (each->state->is_misdirected(now))
            continue;
        double distance = 0;
        if (each->spec.failure_domain != failure_domain)
            distance += to_score(other_domain_penalty);
        if (!each->state->is_in_subset())
            distance += to_score(outside_subset_penalty);
        const upstream_rank rank{
            .is_leaving = each->leaving_since.has_value(),
            .is_ejected = each->state->is_ejected(now),
            .score = each->state->score(now) * spread(random) + distance};
        if (best && !(rank < best_rank))
            continue;
        best = each;
        best_rank = rank;
    }
    return best;
}

}
