#ifndef WISTERIAHATCH_CORE_PROCESS_REPLICA_SELECTOR_HPP
#define WISTERIAHATCH_CORE_PROCESS_REPLICA_SELECTOR_HPP

#include "core/base/time.hpp"
#include "core/connection/upstream_state.hpp"

#include <memory>
#include <random>
#include <span>
#include <string_view>

namespace wisteriahatch
{

// Chooses one of a group's usable replicas.
class replica_selector
{
public:
    virtual ~replica_selector() = default;

    // Returns the chosen candidate, or nullptr when there is none. Replicas in
    // `failure_domain`, the one of this instance, are preferred on ties.
    virtual upstream_state* choose(std::span<upstream_state* const> candidates,
                                   std::string_view failure_domain,
                                   time_point now,
                                   std::mt19937_64& random) const = 0;
};

// Creates the selector with this name (random, least_in_flight or two_choices).
// Returns nullptr for an unknown name.
std::unique_ptr<replica_selector> make_replica_selector(std::string_view name);

}

#endif
