#ifndef WISTERIAHATCH_CORE_PROCESS_CONNECTION_SHARE_HPP
#define WISTERIAHATCH_CORE_PROCESS_CONNECTION_SHARE_HPP

#include "core/process/fleet_size_estimate.hpp"

#include <cstddef>

namespace wisteriahatch
{

// Fraction of an upstream's connections that all instances together may use.
inline constexpr double usable_connection_ratio = 0.65;

// Instances that are assumed while the view of the fleet is settling, unless
// more are seen. A restarted instance of a small fleet must not wait for its
// view where an upstream has connections to spare.
inline constexpr std::size_t assumed_instances = 200;

// Limits that apply to the connections of one instance to an upstream.
struct connection_bounds
{
    // Connections that the upstream accepts from all instances.
    unsigned max_connections = 1;
    // Requests that the upstream processes concurrently.
    unsigned slots = 1;
    // The instances that share the upstream.
    fleet_size fleet;
};

// Returns how many connections one instance may open to an upstream: at least
// 1, and at most one more than the upstream's slots, because more are of no
// use.
unsigned connection_share(const connection_bounds& bounds);

// Reduces the share of one upstream in proportion, so that the shares of all
// upstreams, whose sum is `total`, need at most `max_total` descriptors.
// Returns at least 1, which more upstreams than descriptors exceed.
unsigned reduce_share(unsigned share, std::size_t total, std::size_t max_total);

}

#endif
