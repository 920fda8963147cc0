#ifndef WISTERIAHATCH_CORE_PROCESS_SERVICE_STATE_HPP
#define WISTERIAHATCH_CORE_PROCESS_SERVICE_STATE_HPP

#include "core/base/time.hpp"
#include "core/process/hedge_budget.hpp"
#include "core/process/latency_window.hpp"
#include "core/process/replica_selector.hpp"

#include <memory>
#include <string>

namespace wisteriahatch
{

// State that all queries of one service share in this process: the observed
// latencies, the budget of extra sub-requests and the replica selector.
class service_state
{
public:
    struct options
    {
        // random, least_in_flight or two_choices.
        std::string selector = "two_choices";
        // never, fixed or quantile.
        std::string hedge_trigger = "quantile";
        // Delay of the fixed trigger, and of the quantile trigger until enough
        // latencies were observed.
        std::chrono::milliseconds fixed_hedge_delay{50};
    };

    explicit service_state(const options& opts);

    latency_window& latencies();
    // The budget on which hedges and retries draw; thread-safe.
    hedge_budget& budget();
    const replica_selector& selector() const;
    // Time after which a sub-request is hedged; duration::max() when it never
    // is.
    duration hedge_delay(time_point now) const;

private:
    options config;
    latency_window observed_latencies;
    hedge_budget extra_request_budget;
    std::unique_ptr<replica_selector> chosen_selector;
};

}

#endif
