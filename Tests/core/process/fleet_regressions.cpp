#include "core/process/fleet_case.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace wisteriahatch::test_support;

// Guards against the return of failures that fuzzing has found; each row is
// the reduced case.
TEST_CASE("cases that failed once keep the invariants")
{
    struct row
    {
        std::string name;
        std::uint64_t network;
        std::vector<command> steps;
    };
    using enum command_kind;
    const row rows[] = {
        // The instances that are left know only the seeds; the platform's list
        // must bring them together (seed 11, case 1579).
        {"both seeds are killed before anyone answered",
         0,
         {{kill, 0}, {service_down}, {kill, 1}}},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        case_summary summary;
        CHECK(play(row.network, row.steps, control_fault::none, summary) == "");
    }
}
