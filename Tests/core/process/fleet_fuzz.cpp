#include "core/process/fleet_case.hpp"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace wisteriahatch::test_support;

// Guards against a run that is executed twice or after not_run was told, an
// outcome that changes, a document that reverts, and views that stay different
// after healing, in any interleaving of faults.
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
    MESSAGE(passed, " cases, last old document in round ", summary.agreed,
            " after healing");
    // A harness that no longer reaches a state shows nothing about it.
    for (const std::string name :
         {"accepted", "stale", "same", "invalid", "text accepted",
          "delta accepted", "pause", "retry", "execution", "no answer", "ready",
          "not ready", "told done by owner", "told not_run by owner",
          "told unknown by owner", "told done by another",
          "told not_run by another", "told unknown by another"})
    {
        CAPTURE(name);
        CHECK(summary.reached[name] > 0);
    }
    for (const auto& [name, count] : summary.reached)
        MESSAGE(name, ": ", count);
}
