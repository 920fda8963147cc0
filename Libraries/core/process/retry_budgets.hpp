#ifndef WISTERIAHATCH_CORE_PROCESS_RETRY_BUDGETS_HPP
#define WISTERIAHATCH_CORE_PROCESS_RETRY_BUDGETS_HPP

#include "core/base/time.hpp"
#include "core/process/fleet_size_estimate.hpp"
#include "core/process/repeat_budget.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// What the budgets of an instance allow.
enum class reserve_grant : std::uint8_t
{
    // Only what has been earned.
    withheld,
    // The reserve, too.
    granted,
};

// What a repeat is sent for.
enum class repeat_purpose : std::uint8_t
{
    // Without it the request fails.
    success,
    // Without it the answer is late or lacks a leg that it does not need.
    improvement,
};

// Budgets for the repeats (retries and hedges) that this instance sends to each
// service. A service's limit applies to all instances together: each earns
// repeats from its own requests only, so that the sum stays within the limit
// without shared state. Not thread-safe.
class retry_budgets
{
public:
    struct options
    {
        // Repeats allowed for each request to a service.
        double ratio = 0.1;
        // Repeats beyond the ratio.
        double reserve = 2;
        reserve_grant grant = reserve_grant::granted;
        // Length of the windows in which repeats are counted.
        duration window = std::chrono::seconds(10);
    };

    explicit retry_budgets(options opts);

    // Takes effect at once.
    void set_options(options opts);
    // Records one request to the service, which earns a part of a repeat.
    void earn(std::string_view service, time_point now);
    // Records one repeat; returns false when the budget does not allow it.
    // Repeats that do not decide whether a request succeeds leave a part of the
    // reserve to those that do. At least `kept` repeats are left to more urgent
    // requests.
    bool spend(std::string_view service, repeat_purpose purpose, time_point now,
               double kept = 0);
    // The budgets of the services that have been sent requests.
    const std::map<std::string, repeat_budget, std::less<>>& by_service() const;

private:
    repeat_budget& budget(std::string_view service);
    repeat_allowance allowance() const;

    options config;
    std::map<std::string, repeat_budget, std::less<>> budgets;
};

// The repeats that a service tolerates from all instances of the fleet in a
// window of time.
struct fleet_repeat_limit
{
    // Repeats for each request to the service.
    double ratio = 0.1;
    // Repeats beyond the ratio.
    double slack = 10;
    duration window = std::chrono::seconds(10);
};

// Part of the tolerated repeats that is used, because instances measure
// different loads.
inline constexpr double usable_repeat_ratio = 0.9;
// Part of the ratio that is used in the first window after a start: with the
// repeats of the process before it must stay within the limit.
inline constexpr double restart_repeat_ratio = 1 - usable_repeat_ratio;

// Part of the reserve that repeats leave unspent which a request can do
// without. They earn it back with the next requests, so it costs them only a
// first burst.
inline constexpr double kept_reserve_ratio = 0.4;

// Returns the share of the limit of one instance that was started `uptime` ago.
// The reserve is withheld while the view of the fleet is settling, so that the
// repeats of a fleet of any size stay within the ratio, and for a window after
// the start, in which the previous process of this instance may have spent it.
retry_budgets::options repeat_share(const fleet_repeat_limit& limit,
                                    const fleet_size& fleet, duration uptime);

}

#endif
