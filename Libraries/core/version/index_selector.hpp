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
    // Null if the service has no index to choose from.
    const index_spec* index = nullptr;
    // Shards with a usable replica that holds the version or has not yet
    // reported its versions.
    std::size_t servable_shards = 0;
};

// Chooses the newest version for which all shards are servable; if there is
// none, the version with the most servable shards, the newest one on ties.
// Never chooses `excluded`, the version that a running query found unavailable.
index_choice select_index(const service_spec& service,
                          const upstream_table& upstreams, time_point now,
                          std::optional<index_version> excluded = std::nullopt);

}

#endif
