#include "core/process/service_state.hpp"

#include <algorithm>

namespace wisteriahatch
{

namespace
{

// A hedge sent sooner than this costs more than it gains.
constexpr std::chrono::milliseconds min_hedge_delay{2};
constexpr double hedge_quantile = 0.95;

}

service_state::service_state(const options& opts)
    : config(opts)
    , chosen_selector(make_replica_selector(opts.selector))
{
    if (!this->chosen_selector)
        this->chosen_selector = make_replica_selector(options{}.selector);
}

latency_window& service_state::latencies()
{
    return this->observed_latencies;
}

hedge_budget& service_state::budget()
{
    return this->extra_request_budget;
}

const replica_selector& service_state::selector() const
{
    return *this->chosen_selector;
}

duration service_state::hedge_delay(time_point) const
{
    if (this->config.hedge_trigger == "never")
        return duration::max();
    if (this->config.hedge_trigger == "fixed")
        return this->config.fixed_hedge_delay;
    return std::max<duration>(
        min_hedge_delay, this->observed_latencies.quantile(
                             hedge_quantile, this->config.fixed_hedge_delay));
}

}
