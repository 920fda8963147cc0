#include "core/process/fleet_size_estimate.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against an instance that uses too large a share of a common limit
// because it does not see the others, just after its start or while it is
// partitioned. In a deployment of 61 instances, a share computed for 14
// exceeded the retry budget.
TEST_CASE("the estimate is the largest number of instances ever seen")
{
    const time_point start = time_point{} + 1h;
    struct step
    {
        duration after;
        std::size_t seen, expected;
    };
    struct scenario
    {
        const char* name;
        std::vector<step> steps;
    };
    for (const auto& [name, steps] : std::vector<scenario>{
             {"nine", {{0s, 1, 80}, {1s, 9, 80}, {4s, 9, 9}}},
             {"partitioned later", {{1s, 9, 80}, {4s, 9, 9}, {9s, 1, 9}}},
             {"grows", {{4s, 9, 9}, {5s, 12, 12}, {6s, 9, 12}}},
             {"more than the initial estimate",
              {{1s, 100, 100}, {4s, 100, 100}}},
             {"starts behind a partition", {{1s, 1, 80}, {4s, 1, 5}}}})
    {
        CAPTURE(name);
        fleet_size_estimate estimate(start);
        CHECK(estimate.instances() == fleet_size_estimate::initial_instances);
        for (const auto& each : steps)
        {
            const auto before = estimate.instances();
            const bool has_changed =
                estimate.update(each.seen, start + each.after);
            CHECK(estimate.instances() == each.expected);
            CHECK(has_changed == (before != each.expected));
        }
    }
}
