#ifndef WISTERIAHATCH_CORE_PROCESS_RETRY_BUDGETS_HPP
#define WISTERIAHATCH_CORE_PROCESS_RETRY_BUDGETS_HPP

#include "core/process/hedge_budget.hpp"

#include <map>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// This instance's part of the repeats that each service bears from all
// instances together. An instance earns from its own requests only, so that
// the parts add up to the whole without shared state.
class retry_budgets
{
public:
    struct options
    {
        // Repeats that a service bears for each request to it.
        double ratio = 0.1;
        // Repeats that this instance may send before it has earned any, and
        // the most that it saves up.
        unsigned reserve = 2;
    };

    explicit retry_budgets(options values);

    // Takes effect at once; what is saved up beyond a smaller reserve is lost.
    void set_options(options values);
    // Earns for one request to the service.
    void earn(std::string_view service);
    // Pays for one repeat; returns false when the budget is spent.
    bool spend(std::string_view service);
    // The budgets of the services to which there were requests.
    const std::map<std::string, hedge_budget, std::less<>>& by_service() const;

private:
    hedge_budget& budget(std::string_view service);

    options chosen;
    std::map<std::string, hedge_budget, std::less<>> budgets;
};

}

#endif
