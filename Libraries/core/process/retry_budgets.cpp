#include "core/process/retry_budgets.hpp"

#include <algorithm>

namespace wisteriahatch
{

retry_budgets::retry_budgets(options opts)
    : config(opts)
{
}

void retry_budgets::set_options(options opts)
{
    this->config = opts;
    for (auto& [service, budget] : this->budgets)
        budget.set_allowance(this->allowance());
}

void retry_budgets::earn(std::string_view service, time_point now)
{
    this->budget(service).earn(now);
}

bool retry_budgets::spend(std::string_view service, repeat_purpose purpose,
                          time_point now, double kept)
{
    // A reserve of one repeat is not divided: nothing would ever be sent.
    const double divisible = std::max(0.0, this->config.reserve - 1);
    const double kept_for_success =
        purpose == repeat_purpose::success ? 0 : divisible * kept_reserve_ratio;
    return this->budget(service).spend(now, std::max(kept, kept_for_success));
}

const std::map<std::string, repeat_budget, std::less<>>&
retry_budgets::by_service() const
{
    return this->budgets;
}

repeat_budget& retry_budgets::budget(std::string_view service)
{
    const auto found = this->budgets.find(service);
    if (found != this->budgets.end())
        return found->second;
    return this->budgets.try_emplace(std::string(service), this->allowance())
        .first->second;
}

repeat_allowance retry_budgets::allowance() const
{
    const bool is_granted = this->config.grant == reserve_grant::granted;
    return {.ratio = this->config.ratio,
            .reserve = is_granted ? this->config.reserve : 0,
            .window = this->config.window};
}

retry_budgets::options repeat_share(const fleet_repeat_limit& limit,
                                    const fleet_size& fleet, duration uptime)
{
    // A repeat is sent as a whole, so a smaller reserve would allow none.
    constexpr double min_reserve = 1;
    const double ratio = limit.ratio * usable_repeat_ratio;
    // The previous process of this instance may have repeated all that the
    // window before allowed.
    const double current_ratio =
        uptime < limit.window ? limit.ratio * restart_repeat_ratio : ratio;
    if (fleet.view == fleet_view::settling)
        return {.ratio = current_ratio,
                .reserve = min_reserve,
                .grant = reserve_grant::withheld,
                .window = limit.window};
    const double reserve =
        limit.slack * usable_repeat_ratio /
        static_cast<double>(std::max<std::size_t>(1, fleet.instances));
    return {.ratio = current_ratio,
            .reserve = std::max(min_reserve, reserve),
            .grant = uptime < limit.window ? reserve_grant::withheld
                                           : reserve_grant::granted,
            .window = limit.window};
}

}
