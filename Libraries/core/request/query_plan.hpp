#ifndef WISTERIAHATCH_CORE_REQUEST_QUERY_PLAN_HPP
#define WISTERIAHATCH_CORE_REQUEST_QUERY_PLAN_HPP

#include "core/request/query.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wisteriahatch
{

// The state of one shard of a plan.
struct shard_progress
{
    const shard_spec* spec = nullptr;
    // Replicas to which a sub-request was sent. Each gets at most one per plan.
    std::vector<const upstream_state*> tried;
    // Sub-requests that have neither ended nor been cancelled.
    std::vector<attempt_id> running;
    // True if a replica refused the index version or replied with another one.
    bool is_version_refused = false;
    // True if there is no replica left to try.
    bool is_lacked = false;
};

// Whether an ejected replica may be chosen if no usable one is left.
enum class ejected_replicas : std::uint8_t
{
    excluded,
    as_last_resort,
};

// Tracks, for the index version of a query, the state of each shard and the
// replicas that have not been tried. Used by `query` only.
class query_plan
{
public:
    // `options` and `index` must outlive the plan. A plan with a null index has
    // no shards.
    query_plan(const query_options& options, const index_spec* index);

    const index_spec* index() const;
    std::vector<shard_progress>& shards();
    const std::vector<shard_progress>& shards() const;

    // Returns an untried replica that may hold the version, or nullptr.
    upstream_state* choose_replica(const shard_progress& shard,
                                   ejected_replicas ejected,
                                   time_point now) const;
    // True if any replica of the shard's group is known not to hold the index
    // version.
    bool has_lost_version(const shard_progress& shard) const;
    // Returns another index version that can cover a larger fraction of its
    // shards than this plan still can, or nullptr.
    const index_spec* find_better_index(time_point now) const;

private:
    const query_options* options;
    const index_spec* chosen;
    std::vector<shard_progress> progress;
};

}

#endif
