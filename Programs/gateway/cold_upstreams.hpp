#ifndef WISTERIAHATCH_GATEWAY_COLD_UPSTREAMS_HPP
#define WISTERIAHATCH_GATEWAY_COLD_UPSTREAMS_HPP

#include "gateway_state.hpp"

#include <string_view>

namespace wisteriahatch
{

// Each of these passes what is known of cold upstreams to the rate limits of
// the state. They do nothing where cold upstreams are not limited.

// Sets the rates of cold upstreams by service from the routes in force.
void update_warm_up_rates(gateway_state& state);

// Records the cold period of an upstream from its entry in the directory. Must
// be called before the entry is added to the registry: an entry that is new
// there, or has a new start, is that of an upstream that has just started.
void record_directory_entry(gateway_state& state, const upstream_spec& spec,
                            time_point now);

// Takes all upstreams of a failure domain for cold, because its evacuation has
// ended and they have served nothing meanwhile.
void assume_cold(gateway_state& state, std::string_view failure_domain,
                 time_point now);

// Logs the upstreams that have become cold or warm since the last call.
void log_cold_changes(gateway_state& state);

}

#endif
