#ifndef WISTERIAHATCH_GATEWAY_UPSTREAM_PUBLISHER_HPP
#define WISTERIAHATCH_GATEWAY_UPSTREAM_PUBLISHER_HPP

#include "core/process/fleet_size_estimate.hpp"
#include "gateway_state.hpp"
#include "net/upstream_pool.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace wisteriahatch
{

// Hands the upstreams of the state to the pool, with the connections that this
// instance may open to each of them.
class upstream_publisher
{
public:
    struct options
    {
        gateway_state* state = nullptr;
        upstream_pool* upstreams = nullptr;
        // Unique name of this instance, from which its upstream subset is
        // chosen.
        std::string instance;
        std::string failure_domain;
        // Connections that all upstreams together may have.
        std::size_t max_connections = SIZE_MAX;
    };

    explicit upstream_publisher(options opts);

    // The connections of each upstream are divided among the instances of the
    // fleet.
    void publish(const fleet_size& size);

private:
    // Returns how many connections this instance may open to the upstream.
    unsigned share_of(const upstream_spec& upstream) const;
    // Reduces the shares to the connections that all may have together.
    void limit_shares(std::map<std::string, upstream_address>& addresses) const;
    // Chooses the upstreams to which this instance keeps connections.
    void choose_subset();

    options config;
    fleet_size fleet;
};

}

#endif
