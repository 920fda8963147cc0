#include "core/process/fleet_size_estimate.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against an instance that takes too large a part because it does not
// see the others: just after its start, and while it is cut off. On the grown
// deployment of 61 machines a part for 14 broke the budget of repeats.
TEST_CASE("the share is divided by the most instances ever seen")
{
    const time_point start = time_point{} + 1h;
    struct step
    {
        duration after;
        std::size_t seen, expected;
    };
    struct scenario
    {
        const char* what;
        std::vector<step> steps;
    };
    for (const auto& [what, steps] : std::vector<scenario>{
             {"nine", {{0s, 1, 80}, {1s, 9, 80}, {4s, 9, 9}}},
             {"cut off later", {{1s, 9, 80}, {4s, 9, 9}, {9s, 1, 9}}},
             {"grows", {{4s, 9, 9}, {5s, 12, 12}, {6s, 9, 12}}},
             {"more than assumed", {{1s, 100, 100}, {4s, 100, 100}}},
             {"starts behind a partition", {{1s, 1, 80}, {4s, 1, 5}}}})
    {
        CAPTURE(what);
        fleet_size_estimate share(start);
        CHECK(share.instances() == fleet_size_estimate::initial_instances);
        for (const auto& each : steps)
        {
            const auto before = share.instances();
            const bool has_changed =
                share.update(each.seen, start + each.after);
            CHECK(share.instances() == each.expected);
            CHECK(has_changed == (before != each.expected));
        }
    }
}
