#include "core/process/version_lag.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against an instance that keeps an older version for good: it has
// started on a store that was restored from an older copy, and no instance
// tells it of the version that was confirmed. Guards also against snapshots
// that all instances fetch for each new version.
TEST_CASE("a version that others have is missed after some time")
{
    const time_point start = time_point{} + 1h;
    struct step
    {
        duration after;
        std::uint64_t own, theirs;
        bool is_missed;
    };
    struct scenario
    {
        std::string name;
        std::vector<step> steps;
    };
    for (const auto& [name, steps] : std::vector<scenario>{
             {"equal", {{0s, 5, 5, false}, {9s, 5, 5, false}}},
             {"ahead", {{0s, 5, 3, false}, {9s, 5, 3, false}}},
             {"follows soon", {{0s, 5, 7, false}, {1s, 7, 7, false}}},
             {"follows each of many",
              {{0s, 5, 7, false}, {1s, 7, 8, false}, {2s, 8, 9, false}}},
             {"stays behind",
              {{0s, 5, 7, false},
               {1s, 5, 5, false},
               {1400ms, 5, 7, false},
               {1500ms, 5, 7, true}}}})
    {
        CAPTURE(name);
        version_lag lag;
        for (const auto& each : steps)
            CHECK(lag.update(each.own, each.theirs, start + each.after) ==
                  each.is_missed);
    }
}
