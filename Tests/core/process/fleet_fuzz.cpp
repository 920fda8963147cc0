#include "core/process/fleet_case.hpp"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace wisteriahatch::test_support;

// Guards against runs that are executed twice or after not_run was reported,
// outcomes that change, documents that revert, and members or documents that
// still differ after healing, in any interleaving of faults.
TEST_CASE("the fleet keeps its invariants under random faults")
{
    case_summary summary;
    int passed = 0;
    const bool is_one_seed = std::getenv("RC_PARAMS") != nullptr;
    for (std::uint64_t seed = 1; seed <= (is_one_seed ? 1 : 3); ++seed)
    {
        const auto result =
            check_fleet(seed, 300, control_fault::none, summary);
        CHECK_MESSAGE(result.is_success, result.text);
        passed += result.passed;
    }
    MESSAGE(passed, " cases, last outdated document in round ",
            summary.last_outdated_round, " after healing");
    // Each of these events must occur; otherwise it is not tested.
    for (const std::string name :
         {"accepted", "stale", "same", "invalid", "text accepted",
          "delta accepted", "pause", "retry", "execution", "no answer", "ready",
          "not ready", "reported done by owner", "reported not_run by owner",
          "reported unknown by owner", "reported done by another",
          "reported not_run by another", "reported unknown by another"})
    {
        CAPTURE(name);
        CHECK(summary.event_counts[name] > 0);
    }
    for (const auto& [name, count] : summary.event_counts)
        MESSAGE(name, ": ", count);
}
