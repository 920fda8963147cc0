#include "core/connection/upstream_queue.hpp"
#include "core/property.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using std::chrono::milliseconds;

namespace
{

const time_point start{std::chrono::seconds(1000)};

}

// Guards against starting less urgent calls first.
TEST_CASE("calls start by priority, then by deadline")
{
    upstream_queue queue({.connection_share = 1});
    CHECK(queue.submit({1}, 0, start + milliseconds(90), start).start.size() ==
          1);
    struct waiting
    {
        std::uint64_t id;
        unsigned priority;
        int deadline;
    };
    for (const auto& call : {waiting{2, 3, 10}, waiting{3, 1, 50},
                             waiting{4, 1, 40}, waiting{5, 9, 5}})
        CHECK(queue
                  .submit({call.id}, call.priority,
                          start + milliseconds(call.deadline), start)
                  .start.empty());
    CHECK(queue.next_deadline() == start + milliseconds(5));
    std::uint64_t running = 1;
    for (const std::uint64_t next : {4, 3, 5, 2})
    {
        const auto result = queue.finish({running}, call_outcome::success,
                                         milliseconds(1), start);
        REQUIRE(result.start.size() == 1);
        CHECK(result.start[0] == call_id{next});
        running = next;
    }
}

// Guards against a limit that ignores overload, collapses after one burst of
// sheds, or grows although it is not reached.
TEST_CASE("the limit follows the outcome of calls")
{
    struct scenario
    {
        call_outcome outcome;
        // Number of calls that start at the same time and end in this outcome.
        unsigned calls;
        unsigned limit;
    };
    const scenario scenarios[] = {
        {call_outcome::success, 10, 10}, {call_outcome::shed, 1, 7},
        {call_outcome::shed, 10, 7},     {call_outcome::timeout, 10, 7},
        {call_outcome::failure, 10, 10},
    };
    for (const auto& entry : scenarios)
    {
        upstream_queue queue({.connection_share = 10});
        const time_point end = start + milliseconds(5);
        for (std::uint64_t id = 1; id <= entry.calls; ++id)
            queue.submit({id}, 0, end + milliseconds(5), start);
        for (std::uint64_t id = 1; id <= entry.calls; ++id)
            queue.finish({id}, entry.outcome, milliseconds(5), end);
        CHECK(queue.limit() == entry.limit);
        // One call at a time never reaches the limit, so it does not grow.
        for (std::uint64_t id = 100; id < 200; ++id)
        {
            queue.submit({id}, 0, end + milliseconds(5), end);
            queue.finish({id}, call_outcome::success, milliseconds(1), end);
        }
        CHECK(queue.limit() == entry.limit);
    }
}

// Guards against calls that start after their deadline, that are lost or
// duplicated, that exceed the share, or that wait although the limit allows
// them to start.
TEST_CASE("the queue keeps its invariants under random events")
{
    std::string failure;
    const int passed = passed_cases(
        20261205, 1000, 400, failure,
        [](choices decide)
        {
            unsigned share = 1 + decide.below(4);
            upstream_queue queue({.connection_share = share});
            time_point now = start;
            std::map<call_id, time_point> waiting;
            std::vector<call_id> running;
            const auto apply = [&](const upstream_queue::actions& result)
            {
                for (const auto id : result.dropped)
                    require(waiting.at(id) <= now && waiting.erase(id) == 1,
                            "dropped once, after the deadline");
                for (const auto id : result.start)
                {
                    require(waiting.at(id) > now && waiting.erase(id) == 1,
                            "started once, before the deadline");
                    running.push_back(id);
                    require(running.size() <= queue.limit(),
                            "started within the limit");
                }
            };
            for (std::uint64_t step = 1; step <= 100; ++step)
            {
                now += milliseconds(decide.below(3));
                const auto event = decide.below(8);
                if (event < 4)
                {
                    const auto deadline = now + milliseconds(decide.below(20));
                    waiting.emplace(call_id{step}, deadline);
                    apply(queue.submit({step}, decide.below(4), deadline, now));
                }
                else if (event < 6 && !running.empty())
                {
                    const auto entry =
                        running.begin() + decide.below(running.size());
                    const call_id id = *entry;
                    running.erase(entry);
                    apply(event == 4 ? queue.cancel(id, now)
                                     : queue.finish(
                                           id, call_outcome(decide.below(4)),
                                           milliseconds(decide.below(5)), now));
                }
                else if (event == 6 && !waiting.empty())
                {
                    const call_id id = waiting.begin()->first;
                    waiting.erase(id);
                    apply(queue.cancel(id, now));
                }
                else if (event == 7)
                {
                    share = 1 + decide.below(4);
                    apply(queue.set_connection_share(share, now));
                }
                apply(queue.expire(now));
                require(queue.limit() >= 1 && queue.limit() <= share,
                        "limit between 1 and the share");
                require(queue.running() == running.size() &&
                            queue.waiting() == waiting.size(),
                        "numbers of running and waiting calls");
                require(waiting.empty() || running.size() >= queue.limit(),
                        "limit reached while calls wait");
            }
        });
    INFO(failure);
    CHECK(passed == 1000);
}
