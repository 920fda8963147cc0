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

// What all queries of one service share in this process: the observed
// latencies, the budgets of extra sub-requests, and the replica selector.
class service_state
{
public:
    struct options
    {
        // random, least_in_flight or two_choices.
        std::string selector = "two_choices";
        // never, fixed or quantile.
        std::string hedge_trigger = "quantile";
        // Delay of the fixed hedge trigger.
        std::chrono::milliseconds fixed_hedge_delay{50};
    };

    explicit service_state(const options& values);

    latency_window& latencies();
    // The budget of hedges and paid retries; thread-safe.
    hedge_budget& budget();
    const replica_selector& selector() const;
    // Time after which a sub-request is hedged; duration::max() for never.
    duration hedge_delay(time_point now) const;

private:
    options chosen;
    latency_window window;
    hedge_budget extra;
    std::unique_ptr<replica_selector> chosen_selector;
};

}

#endif
