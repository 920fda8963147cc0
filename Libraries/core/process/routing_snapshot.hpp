#ifndef WISTERIAHATCH_CORE_PROCESS_ROUTING_SNAPSHOT_HPP
#define WISTERIAHATCH_CORE_PROCESS_ROUTING_SNAPSHOT_HPP

#include "core/base/error.hpp"
#include "core/process/upstream_registry.hpp"
#include "core/version/route_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// The routes and the upstreams as their source held them at `revision`, or a
// little later.
struct routing_snapshot
{
    std::uint64_t revision = 0;
    // Null when the source holds no routes yet.
    route_table_ptr routes;
    std::vector<upstream_spec> upstreams;
};

// Largest encoded snapshot that is read, in bytes: 25,000 upstreams and 10,000
// routes at about 400 bytes.
inline constexpr std::size_t max_snapshot_bytes = 16777216;

// Writes the snapshot as JSON, for another instance.
std::string encode_snapshot(const routing_snapshot& snapshot);

// Reads what encode_snapshot writes. Text that is too large or malformed is a
// malformed_request.
result<routing_snapshot> decode_snapshot(std::string_view text);

}

#endif
