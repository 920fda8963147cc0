#ifndef WISTERIAHATCH_TESTS_CORE_PROCESS_FLEET_CASE_HPP
#define WISTERIAHATCH_TESTS_CORE_PROCESS_FLEET_CASE_HPP

#include "core/process/fleet.hpp"
#include "support/property.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace wisteriahatch::test_support
{

// Rounds of 1 s after healing within which documents and members must agree.
inline constexpr int healing_rounds = 20;

// Generates a command; runs are the most frequent.
inline rc::Gen<command> any_command()
{
    using enum command_kind;
    const std::vector<command_kind> kinds = {
        submit,     submit,       submit,
        submit,     submit,       submit,
        submit,     submit,       resend,
        resend,     resend,       resend,
        kill,       replace,      replace,
        pause,      pause,        wake,
        wake,       split,        heal,
        list_lags,  list_current, upstream,
        upstream,   service_down, service_stale,
        service_up, service_up,   publish,
        publish,    publish_old,  publish_two_at_once};
    return rc::gen::build<command>(
        rc::gen::set(&command::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&command::first, rc::gen::inRange(0U, 64U)),
        rc::gen::set(&command::second, rc::gen::inRange(0U, 6000U)),
        rc::gen::set(&command::wait_ms,
                     rc::gen::oneOf(rc::gen::inRange(0U, 200U),
                                    rc::gen::inRange(0U, 2500U))));
}

// Results collected over the cases of a property.
struct case_summary
{
    // The violated invariant; empty if none.
    std::string violation;
    // Last round after healing in which an instance had an outdated document.
    int last_outdated_round = 0;
    // How often each kind of event occurred.
    std::map<std::string, unsigned> event_counts;
};

// Applies the commands and heals the fleet. Returns the violated invariant, or
// an empty string.
inline std::string play(std::uint64_t seed, const std::vector<command>& steps,
                        control_fault injected, case_summary& summary)
{
    fleet simulated(seed, injected);
    for (const auto& step : steps)
    {
        simulated.apply(step);
        if (!simulated.violation().empty())
            return simulated.violation();
    }
    summary.last_outdated_round =
        std::max(summary.last_outdated_round, simulated.settle(healing_rounds));
    for (const auto& [name, count] : simulated.event_counts())
        summary.event_counts[name] += count;
    return simulated.violation();
}

// Checks the invariants over generated cases. Failing cases are reduced only if
// no fault is injected.
inline support::property_result check_fleet(std::uint64_t seed, int cases,
                                            control_fault injected,
                                            case_summary& summary)
{
    return support::check_property(
        [&]
        {
            const auto network_seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto steps =
                *rc::gen::container<std::vector<command>>(any_command());
            const auto violation = play(network_seed, steps, injected, summary);
            if (!violation.empty())
            {
                summary.violation = violation;
                RC_FAIL(violation);
            }
        },
        seed, cases,
        injected == control_fault::none ? support::shrinking::enabled
                                        : support::shrinking::disabled);
}

}

#endif
