#ifndef WISTERIAHATCH_GATEWAY_GATEWAY_STATE_HPP
#define WISTERIAHATCH_GATEWAY_GATEWAY_STATE_HPP

#include "core/process/evacuations.hpp"
#include "core/process/request_admission.hpp"
#include "core/process/retry_budgets.hpp"
#include "core/process/traffic_split.hpp"
#include "core/process/upstream_rate_limits.hpp"
#include "core/process/upstream_registry.hpp"
#include "core/version/route_table.hpp"

#include <optional>
#include <random>

namespace wisteriahatch
{

// The routing state of a gateway process. Lives as long as the process; used on
// its worker only.
struct gateway_state
{
    // Null until a first version is known. The version never decreases.
    route_table_ptr routes;
    upstream_registry upstreams;
    // Stays empty where evacuations are not followed.
    evacuations evacuated;
    retry_budgets budgets;
    upstream_rate_limits rate_limits;
    traffic_split split;
    std::mt19937_64 random;
    // When the configuration source last confirmed the routes and upstreams, to
    // this instance or to the peer that watches it.
    time_point last_source_contact{};
    // Absent where every request is sent at once.
    std::optional<request_admission> admission{};
};

}

#endif
