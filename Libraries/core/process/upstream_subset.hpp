#ifndef WISTERIAHATCH_CORE_PROCESS_UPSTREAM_SUBSET_HPP
#define WISTERIAHATCH_CORE_PROCESS_UPSTREAM_SUBSET_HPP

#include "core/process/fleet_size_estimate.hpp"
#include "core/process/upstream_registry.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// The upstreams of a service to which this instance keeps idle connections, as
// an upstream may accept fewer connections than there are instances. Each
// instance chooses its subset by rendezvous hashing, without knowledge of the
// others' choices, which spreads the instances over the upstreams. Upstreams
// outside the subset are used when those inside it are slow or have failed.
class upstream_subset
{
public:
    // Fraction of an upstream's connections that idle connections of all
    // instances may use. An upstream also holds the connections of processes
    // that lost power, while their successors open as many again.
    static constexpr double idle_connection_ratio = 0.5;

    struct options
    {
        // Identifies this instance; unique among the instances.
        std::string instance;
        // This instance's failure domain, whose upstreams are preferred.
        std::string failure_domain;
        // Instances that share the upstreams. While the view of the fleet is
        // settling, the subset is a single upstream.
        fleet_size fleet;
        // Connections that each upstream accepts from all instances.
        unsigned max_connections = 1;
    };

    upstream_subset(const upstream_group& group, const options& opts);

    bool contains(std::string_view upstream) const;
    std::size_t size() const;

private:
    std::vector<std::string> ids;
};

}

#endif
