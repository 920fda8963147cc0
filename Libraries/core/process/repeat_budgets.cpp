#include "core/process/repeat_budgets.hpp"

namespace wisteriahatch
{

namespace
{

constexpr double percent = 100;

}

repeat_budgets::repeat_budgets(options values)
    : chosen(values)
{
}

void repeat_budgets::set_options(options values)
{
    this->chosen = values;
    for (auto& [service, held] : this->budgets)
        held.set_most(values.reserve);
}

void repeat_budgets::earn(std::string_view service)
{
    this->budget(service).earn(this->chosen.ratio * percent);
}

bool repeat_budgets::spend(std::string_view service)
{
    return this->budget(service).spend();
}

const std::map<std::string, hedge_budget, std::less<>>&
repeat_budgets::by_service() const
{
    return this->budgets;
}

hedge_budget& repeat_budgets::budget(std::string_view service)
{
    const auto found = this->budgets.find(service);
    if (found != this->budgets.end())
        return found->second;
    return this->budgets.try_emplace(std::string(service), this->chosen.reserve)
        .first->second;
}

}
