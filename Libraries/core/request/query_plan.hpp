#ifndef WISTERIAHATCH_CORE_REQUEST_QUERY_PLAN_HPP
#define WISTERIAHATCH_CORE_REQUEST_QUERY_PLAN_HPP

#include "core/request/query.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wisteriahatch
{

// How far one shard of a plan is.
struct shard_progress
{
    const shard_spec* spec = nullptr;
    // Replicas asked so far; each is asked at most once per plan.
    std::vector<const upstream_state*> tried;
    // Sub-requests without an end yet.
    std::vector<attempt_id> running;
    // A replica refused the index version or replied with another one.
    bool is_version_refused = false;
    // No replica is left.
    bool is_lacked = false;
};

// Whether ejected replicas may be asked when no usable one is left.
enum class ejected_replicas : std::uint8_t
{
    excluded,
    as_last_resort,
};

// The shards of the index version that a query asks for, and which replicas
// are left for each. Part of query.
class query_plan
{
public:
    // `options` and `index` outlive the plan; a null index has no shards.
    query_plan(const query_options& options, const index_spec* index);

    const index_spec* index() const;
    std::vector<shard_progress>& shards();
    const std::vector<shard_progress>& shards() const;

    // Returns an untried replica that may hold the version, or nullptr.
    upstream_state* choose_replica(const shard_progress& shard,
                                   ejected_replicas ejected,
                                   time_point now) const;
    // Whether any replica of the shard's group said that it does not hold the
    // version.
    bool has_lost_version(const shard_progress& shard) const;
    // Returns another index version of which a larger part can be covered than
    // this plan still can cover, or nullptr.
    const index_spec* find_better_index(time_point now) const;

private:
    const query_options* options;
    const index_spec* chosen;
    std::vector<shard_progress> progress;
};

}

#endif
