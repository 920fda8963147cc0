#include "cold_upstreams.hpp"

#include "telemetry/log.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Returns how long upstreams of the service are taken for cold.
std::chrono::milliseconds warm_up_time(const gateway_state& state,
                                       std::string_view service)
{
    const auto* limits =
        state.routes ? state.routes->find_service(service) : nullptr;
    return limits == nullptr ? std::chrono::milliseconds(0)
                             : limits->warm_up_time;
}

}

void update_warm_up_rates(gateway_state& state)
{
    std::map<std::string, double, std::less<>> rates;
    for (const auto& [name, limits] : state.routes->services())
        if (limits.warm_up_rate > 0)
            rates.emplace(name, limits.warm_up_rate);
    state.rate_limits.set_warm_up_rates(std::move(rates));
}

void record_directory_entry(gateway_state& state, const upstream_spec& spec,
                            time_point now)
{
    if (!state.rate_limits.has_warm_up(spec.service))
        return;
    const auto known = state.upstreams.known_start(spec.id);
    const bool is_restarted = known && *known != spec.start;
    // Without any other upstream this is the first read of the directory, in
    // which upstreams appear that have run for long.
    const bool is_new = !known && !state.upstreams.all().empty();
    auto left = spec.warm_up_left;
    if (is_restarted || is_new)
        left = std::max(left, warm_up_time(state, spec.service));
    state.rate_limits.record_cold(
        spec, left,
        is_restarted ? cold_origin::restart : cold_origin::directory, now);
}

void assume_cold(gateway_state& state, std::string_view failure_domain,
                 time_point now)
{
    for (const auto& [id, entry] : state.upstreams.all())
        if (entry->spec.failure_domain == failure_domain)
            state.rate_limits.record_cold(
                entry->spec, warm_up_time(state, entry->spec.service),
                cold_origin::evacuation, now);
}

void log_cold_changes(gateway_state& state)
{
    for (const auto& change : state.rate_limits.take_cold_changes())
    {
        const std::string origin(to_string(change.origin));
        if (change.is_cold)
            log_event(log_level::info, "upstream_cold",
                      {{"upstream", change.upstream},
                       {"origin", origin},
                       {"left_ms", std::to_string(change.left.count())}});
        else
            log_event(log_level::info, "upstream_warm",
                      {{"upstream", change.upstream}, {"origin", origin}});
    }
}

}
