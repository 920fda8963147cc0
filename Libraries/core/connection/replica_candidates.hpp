#ifndef WISTERIAHATCH_CORE_CONNECTION_REPLICA_CANDIDATES_HPP
#define WISTERIAHATCH_CORE_CONNECTION_REPLICA_CANDIDATES_HPP

#include "core/base/time.hpp"
#include "core/connection/upstream_state.hpp"
#include "core/version/document.hpp"

#include <vector>

namespace wisteriahatch
{

// The replicas of a group that have an address and are not draining.
struct replica_candidates
{
    std::vector<upstream_state*> usable;
    // Ejected: at most a third of the group's replicas, rounded up, and never
    // all of them. Asked only when no usable replica is left.
    std::vector<upstream_state*> ejected;

    static replica_candidates find(const group_spec& group,
                                   const upstream_table& upstreams,
                                   time_point now);
};

}

#endif
