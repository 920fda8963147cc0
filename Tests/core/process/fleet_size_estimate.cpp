#include "core/process/fleet_size_estimate.hpp"

#include <doctest/doctest.h>
#include <initializer_list>
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
    constexpr auto settling = fleet_view::settling;
    constexpr auto settled = fleet_view::settled;
    struct step
    {
        duration after;
        std::size_t seen;
        fleet_size expected;
    };
    struct scenario
    {
        const char* name;
        std::vector<step> steps;
    };
    for (const auto& [name, steps] : std::vector<scenario>{
             {"nine",
              {{0s, 1, {5, settling}},
               {1s, 9, {9, settling}},
               {4s, 9, {9, settled}}}},
             {"partitioned later",
              {{4s, 9, {9, settling}},
               {7s, 9, {9, settled}},
               {9s, 1, {9, settled}}}},
             {"grows",
              {{1s, 9, {9, settling}},
               {4s, 9, {9, settled}},
               {5s, 12, {12, settled}},
               {6s, 9, {12, settled}}}},
             {"starts behind a partition",
              {{1s, 1, {5, settling}}, {4s, 1, {5, settled}}}},
             {"still learning after the shortest time",
              {{1s, 50, {50, settling}},
               {3500ms, 120, {120, settling}},
               {4s, 195, {195, settling}},
               {6400ms, 195, {195, settling}},
               {6600ms, 195, {195, settled}}}},
             {"instances join all the time",
              {{4s, 1000, {1000, settling}},
               {9900ms, 2000, {2000, settling}},
               {10100ms, 2001, {2001, settled}}}}})
    {
        CAPTURE(name);
        fleet_size_estimate estimate(start);
        for (const auto& each : steps)
        {
            const auto before = estimate.size();
            const bool has_changed =
                estimate.update(each.seen, start + each.after);
            CHECK((estimate.size() == each.expected));
            CHECK(has_changed ==
                  (each.expected.view == settled && each.expected != before));
        }
    }
}

// Guards against a number of instances that is taken for a state: a fleet of 80
// or more used to look as if it never settled, so that each of its instances
// watched the store itself and made 30 calls on a calm day instead of 8.
TEST_CASE("a fleet of any size settles")
{
    const time_point start = time_point{} + 1h;
    for (const std::size_t instances : {5, 61, 79, 80, 81, 195, 1000})
    {
        CAPTURE(instances);
        fleet_size_estimate estimate(start);
        CHECK_FALSE(estimate.update(instances, start + 1s));
        CHECK(estimate.size().view == fleet_view::settling);
        CHECK(estimate.update(instances, start + 4s));
        CHECK(estimate.size().view == fleet_view::settled);
        CHECK(estimate.size().instances == instances);
    }
}
