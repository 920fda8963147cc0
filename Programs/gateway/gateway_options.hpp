#ifndef WISTERIAHATCH_GATEWAY_GATEWAY_OPTIONS_HPP
#define WISTERIAHATCH_GATEWAY_GATEWAY_OPTIONS_HPP

#include "core/process/fleet_size_estimate.hpp"
#include "core/process/membership.hpp"
#include "core/process/retry_budgets.hpp"
#include "core/process/upstream_rate_limits.hpp"
#include "net/upstream_pool.hpp"
#include "settings.hpp"
#include "telemetry/forwarding_metrics.hpp"

#include <cstdint>
#include <memory>
#include <optional>

// Derives the options of the gateway's parts from its settings.

namespace wisteriahatch
{

// Returns limits and time-outs for requests that are forwarded unparsed.
upstream_pool::options
make_pool_options(std::shared_ptr<const upstream_dialect> dialect,
                  forwarding_metrics& measures);

// Returns how long an upstream that leaves may still be used.
duration leaving_grace_of(const gateway_settings& values);

// Returns this instance's share of the repeat budget.
retry_budgets::options make_budget_options(const gateway_settings& values,
                                           const fleet_size& fleet,
                                           time_point started);

// Returns how this instance takes part in the membership.
membership::options make_membership_options(const gateway_settings& values);

// Returns the bound of cold upstreams; empty unless both settings are made.
std::optional<warm_up_bound> make_warm_up_bound(const gateway_settings& values);

// Rate limits of a gateway without peers are not divided.
rate_limit_fleet make_single_instance_fleet();

std::uint64_t random_seed();

}

#endif
