#include "gateway_options.hpp"

#include "net/http_client.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>

namespace wisteriahatch
{

namespace
{

// Part of the drain bound in which the news that an upstream leaves reaches
// this instance: a poll of the directory, a lost reader and a slow call.
constexpr std::chrono::milliseconds drain_news_time{1000};

// Logs what an upstream has said of itself in a reply.
void log_upstream_signals(const std::string& upstream,
                          const upstream_report& report)
{
    using std::chrono::milliseconds;
    const auto pause = report.pause.value_or(duration::zero());
    const auto length = std::chrono::duration_cast<milliseconds>(pause);
    log_event(log_level::info, "upstream_signals_changed",
              {{"upstream", upstream},
               {"leaving", report.is_leaving ? "true" : "false"},
               {"pause_ms", std::to_string(length.count())}});
}

}

std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

upstream_pool::options
make_pool_options(std::shared_ptr<const upstream_dialect> dialect,
                  forwarding_metrics& measures)
{
    upstream_pool::options chosen;
    chosen.max_reply_bytes = std::size_t{16} * 1024 * 1024;
    // A buffer may be twice as large as what it holds.
    chosen.max_total_reply_bytes = std::size_t{32} * 1024 * 1024;
    chosen.connect_timeout = std::chrono::milliseconds(300);
    chosen.failure_penalty = std::chrono::milliseconds(200);
    chosen.dialect = std::move(dialect);
    chosen.handle_signals = [&measures](const std::string& upstream,
                                        const upstream_report& report,
                                        const upstream_signal_change& change)
    {
        log_upstream_signals(upstream, report);
        if (change.is_paused)
            measures.count_pause();
        if (change.has_left)
            measures.count_left_upstream();
    };
    chosen.handle_withheld_send = [&measures]
    { measures.count_withheld_send(); };
    return chosen;
}

duration leaving_grace_of(const gateway_settings& values)
{
    return std::max(values.drain_bound, drain_news_time) - drain_news_time;
}

retry_budgets::options make_budget_options(const gateway_settings& values,
                                           const fleet_size& fleet,
                                           time_point started)
{
    return repeat_share({.ratio = values.repeat_ratio,
                         .slack = values.repeat_slack,
                         .window = values.repeat_window},
                        fleet, std::chrono::steady_clock::now() - started);
}

membership::options make_membership_options(const gateway_settings& values)
{
    using std::chrono::milliseconds;
    const auto started = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    membership::options chosen;
    if (values.peer_address)
        chosen.self.address = format_endpoint(*values.peer_address);
    chosen.self.failure_domain = values.failure_domain;
    chosen.self.nonce = {random_seed()};
    chosen.self.epoch = static_cast<std::uint64_t>(started.count());
    chosen.seeds = values.seeds;
    return chosen;
}

std::optional<warm_up_bound> make_warm_up_bound(const gateway_settings& values)
{
    if (!values.warm_up_overload || !values.warm_up_slack)
        return std::nullopt;
    return warm_up_bound{.overload = *values.warm_up_overload,
                         .slack = *values.warm_up_slack};
}

rate_limit_fleet make_single_instance_fleet()
{
    return {.size = {.instances = 1, .view = fleet_view::settled},
            .own_address = "self",
            .live = {{.address = "self", .failure_domain = ""}}};
}

}
