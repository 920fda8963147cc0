#ifndef WISTERIAHATCH_CORE_VERSION_INDEX_SELECTOR_HPP
#define WISTERIAHATCH_CORE_VERSION_INDEX_SELECTOR_HPP

#include "core/base/time.hpp"
#include "core/connection/upstream_state.hpp"
#include "core/version/document.hpp"

#include <cstddef>
#include <optional>

namespace wisteriahatch
{

// An index version to query.
struct index_choice
{
    // Null when the service has no index to choose from.
    const index_spec* index = nullptr;
    // Shards with a usable replica that holds the version or has not yet said
    // what it holds.
    std::size_t servable_shards = 0;
};

// Chooses the newest version for which every shard has such a replica; if there
// is none, the version with the most such shards, the newest on ties. `lost` is
// left out: the version that a running query found to be gone.
index_choice select_index(const service_spec& service,
                          const upstream_table& upstreams, time_point now,
                          std::optional<index_version> lost = std::nullopt);

}

#endif
