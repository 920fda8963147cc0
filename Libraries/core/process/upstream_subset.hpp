#ifndef WISTERIAHATCH_CORE_PROCESS_UPSTREAM_SUBSET_HPP
#define WISTERIAHATCH_CORE_PROCESS_UPSTREAM_SUBSET_HPP

#include "core/process/upstream_registry.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// The upstreams of a service to which this instance keeps connections, where
// an upstream accepts fewer connections than there are instances. Each instance
// chooses by rendezvous hashing, without knowledge of the others' choices, so
// that they spread over the upstreams. The other upstreams are used when the
// home ones are slow or have failed.
class upstream_subset
{
public:
    // Part of an upstream's connections that idle ones of all instances may
    // take up. An upstream also holds the connections of processes that lost
    // power, and their successors need as many again.
    static constexpr double idle_connection_ratio = 0.5;

    struct options
    {
        // Names this instance; differs between instances.
        std::string instance;
        // The own failure domain, whose upstreams come first.
        std::string failure_domain;
        // Instances that share the upstreams.
        std::size_t instances = 1;
        // Connections that each upstream of the service accepts.
        unsigned max_connections = 1;
    };

    upstream_subset(const upstream_group& group, const options& chosen);

    bool contains(std::string_view upstream) const;
    std::size_t size() const;

private:
    std::vector<std::string> ids;
};

}

#endif
