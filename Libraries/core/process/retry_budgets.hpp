#ifndef WISTERIAHATCH_CORE_PROCESS_RETRY_BUDGETS_HPP
#define WISTERIAHATCH_CORE_PROCESS_RETRY_BUDGETS_HPP

#include "core/process/hedge_budget.hpp"

#include <map>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Budgets for the repeats (retries and hedges) that this instance sends to each
// service. A service's limit applies to all instances together: each earns
// tokens from its own requests only, so that the sum stays within the limit
// without shared state.
class retry_budgets
{
public:
    struct options
    {
        // Repeats allowed for each request to a service.
        double ratio = 0.1;
        // Tokens of a new budget, and the maximum that can be saved up.
        unsigned reserve = 2;
    };

    explicit retry_budgets(options opts);

    // Takes effect at once; tokens above a smaller reserve are dropped.
    void set_options(options opts);
    // Adds the tokens earned by one request to the service.
    void earn(std::string_view service);
    // Spends a token on one repeat; returns false when less than one is left.
    bool spend(std::string_view service);
    // The budgets of the services that have been sent requests.
    const std::map<std::string, hedge_budget, std::less<>>& by_service() const;

private:
    hedge_budget& budget(std::string_view service);

    options config;
    std::map<std::string, hedge_budget, std::less<>> budgets;
};

}

#endif
