#include "core/request/query_plan.hpp"

#include "core/connection/replica_candidates.hpp"
#include "core/process/service_state.hpp"
#include "core/version/index_selector.hpp"

#include <algorithm>
#include <utility>

namespace wisteriahatch
{

query_plan::query_plan(const query_options& options, const index_spec* index)
    : options(&options)
    , chosen(index)
{
    if (index == nullptr)
        return;
    this->progress.reserve(index->shards.size());
    for (const auto& shard : index->shards)
        this->progress.push_back({.spec = &shard});
}

const index_spec* query_plan::index() const
{
    return this->chosen;
}

std::vector<shard_progress>& query_plan::shards()
{
    return this->progress;
}

const std::vector<shard_progress>& query_plan::shards() const
{
    return this->progress;
}

upstream_state* query_plan::choose_replica(const shard_progress& shard,
                                           ejected_replicas ejected,
                                           time_point now) const
{
    auto candidates = replica_candidates::find(
        this->options->service->groups[shard.spec->group],
        *this->options->upstreams, now);
    const auto is_excluded = [&](const upstream_state* replica)
    {
        const bool was_tried =
            std::ranges::find(shard.tried, replica) != shard.tried.end() &&
            this->options->fault != injected_fault::repeat_replica;
        return was_tried || !replica->may_hold(this->chosen->version);
    };
    std::erase_if(candidates.usable, is_excluded);
    if (candidates.usable.empty() &&
        ejected == ejected_replicas::as_last_resort)
    {
        std::erase_if(candidates.ejected, is_excluded);
        std::swap(candidates.usable, candidates.ejected);
    }
    if (candidates.usable.empty())
        return nullptr;
    return this->options->shared_state->selector().choose(
        candidates.usable, this->options->failure_domain, now,
        *this->options->random);
}

bool query_plan::has_lost_version(const shard_progress& shard) const
{
    if (shard.is_version_refused)
        return true;
    const auto& upstreams = *this->options->upstreams;
    return std::ranges::any_of(
        this->options->service->groups[shard.spec->group].replicas,
        [&](const replica_spec& replica)
        {
            const auto entry = upstreams.find(replica.name);
            return entry != upstreams.end() &&
                   !entry->second->may_hold(this->chosen->version);
        });
}

const index_spec* query_plan::find_better_index(time_point now) const
{
    const auto choice =
        select_index(*this->options->service, *this->options->upstreams, now,
                     this->chosen->version);
    if (choice.index == nullptr)
        return nullptr;
    const auto coverable = static_cast<std::size_t>(
        std::ranges::count(this->progress, false, &shard_progress::is_lacked));
    // Compares the two fractions by cross-multiplication, without a division.
    const bool is_better = choice.servable_shards * this->progress.size() >
                           coverable * choice.index->shards.size();
    return is_better ? choice.index : nullptr;
}

}
