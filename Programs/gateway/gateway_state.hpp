#ifndef WISTERIAHATCH_GATEWAY_GATEWAY_STATE_HPP
#define WISTERIAHATCH_GATEWAY_GATEWAY_STATE_HPP

#include "core/process/retry_budgets.hpp"
#include "core/process/traffic_split.hpp"
#include "core/process/upstream_registry.hpp"
#include "core/version/route_table.hpp"

#include <random>

namespace wisteriahatch
{

// What a gateway process knows and decides with. Lives as long as the process;
// only its worker touches it.
struct gateway_state
{
    // Null until a first version was learned. Versions never go back.
    route_table_ptr routes;
    upstream_registry upstreams;
    retry_budgets budgets;
    traffic_split split;
    std::mt19937_64 random;
    // When the configuration source was last heard from.
    time_point last_source_contact{};
};

}

#endif
