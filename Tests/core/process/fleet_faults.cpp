#include "core/process/fleet_case.hpp"

#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace wisteriahatch;
using namespace wisteriahatch::test_support;

// Guards against a simulation that no longer detects faults: each injected
// fault must violate one of the invariants that cover it.
TEST_CASE("every injected fault is caught by its invariant")
{
    struct row
    {
        control_fault injected;
        std::string name;
        // Invariants that cover the fault; which one is violated first depends
        // on the case.
        std::set<std::string> invariants;
    };
    using enum control_fault;
    const row rows[] = {
        {run_without_ownership,
         "run_without_ownership",
         {"a run was executed twice",
          "a run started after not_run was reported"}},
        {not_run_after_send,
         "not_run_after_send",
         {"not_run was reported for a started run",
          "a run started after not_run was reported"}},
        {expire_records_early,
         "expire_records_early",
         {"a final outcome was forgotten"}},
        {accept_lower_keys, "accept_lower_keys", {"a document reverted"}},
        {ignore_incarnation,
         "ignore_incarnation",
         {"a run was executed twice", "not_run was reported for a started run",
          "a run started after not_run was reported",
          "done was reported with another run's result"}},
        {skip_cancellation,
         "skip_cancellation",
         {"work from before a pause was sent"}},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        case_summary summary;
        const auto result = check_fleet(1, 3000, row.injected, summary);
        CHECK_FALSE(result.is_success);
        CAPTURE(summary.violation);
        CHECK(row.invariants.contains(summary.violation));
        MESSAGE(row.name, ": \"", summary.violation, "\" after ", result.passed,
                " passing cases");
    }
}
