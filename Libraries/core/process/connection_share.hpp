#ifndef WISTERIAHATCH_CORE_PROCESS_CONNECTION_SHARE_HPP
#define WISTERIAHATCH_CORE_PROCESS_CONNECTION_SHARE_HPP

#include <cstddef>

namespace wisteriahatch
{

// Part of an upstream's connections that all instances use together.
inline constexpr double usable_connection_ratio = 0.65;

// What bounds the connections of one instance to an upstream.
struct connection_bounds
{
    // Connections that the upstream accepts from all instances.
    unsigned max_connections = 1;
    // Requests that it works on at once.
    unsigned slots = 1;
    std::size_t instances = 1;
};

// Returns the connections that one instance may open to an upstream: at least
// 1; more than one beyond the slots are of no use.
unsigned connection_share(const connection_bounds& known);

}

#endif
