#include "core/process/fleet_case.hpp"

#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace wisteriahatch;
using namespace wisteriahatch::test_support;

// Guards against fuzzing that would not notice a broken promise: each injected
// fault must break the invariant that stands for it.
TEST_CASE("every injected fault is caught by its invariant")
{
    struct row
    {
        control_fault injected;
        std::string name;
        // The invariants that stand for the fault; which one breaks first
        // depends on the case.
        std::set<std::string> invariants;
    };
    using enum control_fault;
    const row rows[] = {
        {run_without_ownership,
         "run_without_ownership",
         {"a run was executed twice", "a run started after not_run was told"}},
        {not_run_after_send,
         "not_run_after_send",
         {"not_run was told of a started run",
          "a run started after not_run was told"}},
        {expire_records_early,
         "expire_records_early",
         {"a final outcome was forgotten"}},
        {accept_lower_keys, "accept_lower_keys", {"a document reverted"}},
        {ignore_incarnation,
         "ignore_incarnation",
         {"a run was executed twice", "not_run was told of a started run",
          "a run started after not_run was told",
          "done was told with another run's result"}},
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
        CAPTURE(summary.broken);
        CHECK(row.invariants.contains(summary.broken));
        MESSAGE(row.name, ": \"", summary.broken, "\" after ", result.passed,
                " passing cases");
    }
}
