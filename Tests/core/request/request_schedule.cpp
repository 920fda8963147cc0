#include "core/request/request_schedule.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

const time_point received = time_point(100s);

}

// Guards against an answer that leaves in time and arrives late. Found on
// dialcraft-amman-grown, day quiet-1, whose callers are 6 ms away there and
// back: answers that left out shards missed a target of 40 ms by 2 ms.
TEST_CASE("an answer leaves early enough to arrive within the target")
{
    struct scenario
    {
        duration target, round_trip;
        bool is_first_on_connection;
        duration answer_after;
    };
    for (const auto& each :
         {scenario{40ms, 0ms, false, 35ms}, scenario{40ms, 2ms, false, 33ms},
          scenario{40ms, 6ms, false, 29ms}, scenario{40ms, 6ms, true, 23ms},
          scenario{120ms, 6ms, true, 103ms},
          // A round trip from a disturbance does not take the whole target.
          scenario{40ms, 500ms, false, 20ms}})
    {
        CAPTURE(each.round_trip.count());
        const auto schedule = make_schedule(
            {.received = received,
             .caller_timeout = 1000ms,
             .target_latency = each.target,
             .round_trip = each.round_trip,
             .is_first_on_connection = each.is_first_on_connection,
             .is_scattered = true});
        CHECK(schedule.answer_by == received + each.answer_after);
    }
}

// Guards against an answer after the caller has stopped waiting, and against a
// short patience that leaves no time at all.
TEST_CASE("the deadline lies before the end of the caller's patience")
{
    struct scenario
    {
        duration patience, round_trip, deadline_after;
    };
    for (const auto& each :
         {scenario{250ms, 0ms, 240ms}, scenario{250ms, 2ms, 240ms},
          scenario{250ms, 20ms, 225ms}, scenario{12ms, 0ms, 6ms},
          scenario{250ms, 900ms, 125ms}, scenario{0ms, 2ms, 0ms}})
    {
        CAPTURE(each.patience.count());
        const auto schedule = make_schedule({.received = received,
                                             .caller_timeout = each.patience,
                                             .target_latency = 40ms,
                                             .round_trip = each.round_trip});
        CHECK(schedule.deadline == received + each.deadline_after);
    }
}

// Guards against hedges that come too late to be of use.
TEST_CASE("legs of a scattered request are hedged earlier than a single one")
{
    request_schedule::options known{.received = received,
                                    .caller_timeout = 1000ms,
                                    .target_latency = 120ms,
                                    .is_scattered = true};
    CHECK(make_schedule(known).hedge_delay == 40ms);
    known.is_scattered = false;
    CHECK(make_schedule(known).hedge_delay == 84ms);
}
