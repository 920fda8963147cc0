#ifndef WISTERIAHATCH_CORE_PROCESS_ROUTING_SNAPSHOT_HPP
#define WISTERIAHATCH_CORE_PROCESS_ROUTING_SNAPSHOT_HPP

#include "core/base/error.hpp"
#include "core/process/source_position.hpp"
#include "core/process/upstream_registry.hpp"
#include "core/version/route_table.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// The routes and upstreams that their source held at `position` or shortly
// after.
struct routing_snapshot
{
    source_position position;
    // Null when the source has no routes yet.
    route_table_ptr routes;
    std::vector<upstream_spec> upstreams;
    // The evacuated failure domains; empty when they are not known, as in
    // messages of earlier versions.
    std::optional<std::vector<std::string>> evacuated;
};

// Maximum size of an encoded snapshot; enough for 25,000 upstreams and 10,000
// routes of about 400 bytes each.
inline constexpr std::size_t max_snapshot_bytes = 16777216;

// Encodes the snapshot as JSON for another instance.
std::string encode_snapshot(const routing_snapshot& snapshot);

// Decodes the output of encode_snapshot. Returns malformed_request for text
// that is malformed or larger than max_snapshot_bytes.
result<routing_snapshot> decode_snapshot(std::string_view text);

}

#endif
