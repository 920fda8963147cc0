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
    // Used only if no usable replica is left. At most a third of the group's
    // replicas, rounded up, and never all that have an address and are not
    // draining.
    std::vector<upstream_state*> ejected;

    static replica_candidates find(const group_spec& group,
                                   const upstream_table& upstreams,
                                   time_point now);
};

}

#endif
