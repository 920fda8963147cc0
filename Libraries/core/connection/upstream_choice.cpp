#include "core/connection/upstream_choice.hpp"

#include <algorithm>
#include <tuple>

namespace wisteriahatch
{

namespace
{

// Each score is increased by a random fraction of up to this value, so that
// instances with the same observations don't all choose the same upstream.
constexpr double max_score_jitter = 0.2;

// Converts a time to the unit of scores, nanoseconds.
double to_score(std::chrono::nanoseconds time)
{
    return static_cast<double>(time.count());
}

// The upstream with the lowest rank is chosen.
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

// Returns the lowest smoothed latency of the group; 0 if none has a sample.
duration lowest_latency(const upstream_group& group)
{
    auto lowest = duration::max();
    for (const auto& each : group)
    {
        const auto latency = each->state->smoothed_latency();
        if (latency > duration::zero())
            lowest = std::min(lowest, latency);
    }
    return lowest == duration::max() ? duration::zero() : lowest;
}

}

registered_upstream_ptr choose_upstream(const upstream_group& group,
                                        const choice_context& context,
                                        time_point now, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> jitter(1, 1 + max_score_jitter);
    const auto typical_latency = lowest_latency(group);
    registered_upstream_ptr best;
    upstream_rank best_rank;
    for (const auto& each : group)
    {
        const auto& signals = each->state->signals();
        if (each->state->is_misdirected(now) || !signals.may_send(now))
            continue;
        double penalty = 0;
        if (each->spec.failure_domain != context.failure_domain)
            penalty += to_score(context.other_domain_penalty);
        if (!each->state->is_in_subset())
            penalty += to_score(outside_subset_penalty);
        const upstream_rank rank{
            .is_leaving =
                each->leaving_since.has_value() || signals.is_leaving(),
            .is_ejected = each->state->is_ejected(now),
            .score = each->state->score(now, typical_latency) * jitter(random) +
                     penalty};
        if (best && !(rank < best_rank))
            continue;
        best = each;
        best_rank = rank;
    }
    return best;
}

}
