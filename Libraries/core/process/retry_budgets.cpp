#include "core/process/retry_budgets.hpp"

namespace wisteriahatch
{

namespace
{

constexpr double percent = 100;

}

retry_budgets::retry_budgets(options opts)
    : config(opts)
{
}

void retry_budgets::set_options(options opts)
{
    this->config = opts;
    for (auto& [service, budget] : this->budgets)
        budget.set_max_tokens(opts.reserve);
}

void retry_budgets::earn(std::string_view service)
{
    this->budget(service).earn(this->config.ratio * percent);
}

bool retry_budgets::spend(std::string_view service)
{
    return this->budget(service).spend();
}

const std::map<std::string, hedge_budget, std::less<>>&
retry_budgets::by_service() const
{
    return this->budgets;
}

hedge_budget& retry_budgets::budget(std::string_view service)
{
    const auto found = this->budgets.find(service);
    if (found != this->budgets.end())
        return found->second;
    return this->budgets.try_emplace(std::string(service), this->config.reserve)
        .first->second;
}

}
