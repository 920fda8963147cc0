#include "core/process/service_state.hpp"

#include <algorithm>

namespace wisteriahatch
{

namespace
{

// Hedging sooner than this gains less than the hedge costs.
constexpr std::chrono::milliseconds shortest_hedge_delay{2};
constexpr double hedge_quantile = 0.95;

}

service_state::service_state(const options& values)
    : chosen(values)
    , chosen_selector(make_replica_selector(values.selector))
{
    if (!this->chosen_selector)
        this->chosen_selector = make_replica_selector(options{}.selector);
}

latency_window& service_state::latencies()
{
    return this->window;
}

hedge_budget& service_state::budget()
{
    return this->extra;
}

const replica_selector& service_state::selector() const
{
    return *this->chosen_selector;
}

duration service_state::hedge_delay(time_point) const
{
    if (this->chosen.hedge_trigger == "never")
        return duration::max();
    if (this->chosen.hedge_trigger == "fixed")
        return this->chosen.fixed_hedge_delay;
    return std::max<duration>(
        shortest_hedge_delay,
        this->window.quantile(hedge_quantile, this->chosen.fixed_hedge_delay));
}

}
