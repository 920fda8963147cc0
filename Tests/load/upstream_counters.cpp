#include "upstream_counters.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against counting executions of an earlier measurement, and against
// missing a run that was executed twice.
TEST_CASE("only work since the first reading counts")
{
    const upstream_counters before{.searches_started = 10,
                                   .runs_started = 3,
                                   .run_ids = {{"old", 2}, {"repeated", 1}}};
    const upstream_counters after{
        .searches_started = 25,
        .runs_started = 6,
        .run_ids = {{"old", 2}, {"repeated", 2}, {"once", 1}, {"twice", 2}}};
    const upstream_counters started = after.since(before);
    CHECK(started.searches_started == 15);
    CHECK(started.runs_started == 3);
    CHECK(started.executed_twice() == 2);
}
