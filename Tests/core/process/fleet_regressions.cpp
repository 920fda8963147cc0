#include "core/process/fleet_case.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace wisteriahatch::test_support;

// Guards against the return of failures that fuzzing found; each row is a
// reduced case.
TEST_CASE("cases that failed once keep the invariants")
{
    struct row
    {
        std::string name;
        std::uint64_t network_seed;
        std::vector<command> steps;
    };
    using enum command_kind;
    const row rows[] = {
        // The remaining instances know only the seeds and must find each other
        // through the platform's list (seed 11, case 1579).
        {"both seeds are killed before anyone answered",
         0,
         {{kill, 0}, {service_down}, {kill, 1}}},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        case_summary summary;
        CHECK(play(row.network_seed, row.steps, control_fault::none, summary) ==
              "");
    }
}
