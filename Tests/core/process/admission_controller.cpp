#include "core/process/admission_controller.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <queue>
#include <random>
#include <vector>

using namespace wisteriahatch;
using std::chrono::milliseconds;

namespace
{

const time_point start{std::chrono::seconds(1000)};
const time_point never = start + std::chrono::hours(1);

// Runs one query after the other, `count` in all.
void serve(admission_controller& gate, int count, milliseconds latency,
           time_point now,
           admission_outcome outcome = admission_outcome::served)
{
    for (int number = 0; number < count; ++number)
    {
        const query_id id{1000000U + static_cast<unsigned>(number)};
        CHECK(gate.submit(id, 0, never, now).start.size() == 1);
        gate.finish(id, outcome, latency, now);
    }
}

}

// Guards against low priorities that starve, and against higher ones that get
// less than the rest.
TEST_CASE("each lower priority that waits gets one start in ten")
{
    admission_controller gate(
        {.min_limit = 1, .initial_limit = 1, .max_limit = 1});
    gate.submit({1}, 0, never, start);
    for (unsigned id = 4; id < 804; ++id)
        gate.submit({id}, id % 4, never, start);
    std::array<unsigned, 4> starts{};
    query_id running{1};
    for (int count = 0; count < 200; ++count)
    {
        const auto result =
            gate.finish(running, admission_outcome::served, {}, start);
        REQUIRE(result.start.size() == 1);
        running = result.start[0];
        ++starts[running.value % 4];
    }
    // The first turns of the three fall on the 10th, 11th and 12th start.
    CHECK(starts[0] == 142);
    CHECK(starts[1] == 19);
    CHECK(starts[2] == 19);
    CHECK(starts[3] == 20);
}

// Guards against running queries whose time is too short, and against refusing
// one while a place is free.
TEST_CASE("a waiting query is refused when its time is below the median")
{
    admission_controller gate(
        {.min_limit = 1, .initial_limit = 1, .max_limit = 1});
    serve(gate, 100, milliseconds(20), start);
    // A free place: starts, though 10 ms are below the median.
    CHECK(gate.submit({1}, 0, start + milliseconds(10), start).start.size() ==
          1);
    // No place: 10 ms are too short; 50 ms suffice.
    CHECK(gate.submit({2}, 0, start + milliseconds(10), start).refused.size() ==
          1);
    CHECK(gate.submit({3}, 0, start + milliseconds(50), start).refused.empty());
    // One waits ahead: its 20 ms are more than half of the spare 30 ms.
    CHECK(gate.submit({4}, 0, start + milliseconds(50), start).refused.size() ==
          1);
    const auto expiry = gate.next_expiry();
    REQUIRE(expiry.has_value());
    // Half of its 50 ms comes before 50 ms less the median of 20 ms.
    CHECK(*expiry == start + milliseconds(25));
    CHECK(gate.expire(*expiry - milliseconds(1)).refused.empty());
    CHECK(gate.expire(*expiry).refused == std::vector<query_id>{{3}});
    CHECK(gate.submit({5}, 0, start, start).refused.size() == 1);
    CHECK(gate.cancel({1}, start).start.empty());
    CHECK(gate.running() + gate.waiting() == 0);
}

// Guards against a collapse in which queries start when their time is nearly
// over, none is served, and no median ever refuses one.
TEST_CASE("a waiting query is refused when half its time is over")
{
    admission_controller gate(
        {.min_limit = 1, .initial_limit = 1, .max_limit = 1});
    CHECK(gate.submit({1}, 0, start + milliseconds(100), start).start.size() ==
          1);
    CHECK(
        gate.submit({2}, 0, start + milliseconds(100), start).refused.empty());
    // The first used up half of its time; the second is not started any more.
    const auto ended = gate.finish({1}, admission_outcome::overloaded,
                                   milliseconds(50), start + milliseconds(50));
    CHECK(ended.start.empty());
    CHECK(ended.refused == std::vector<query_id>{{2}});
}

// Guards against a limit that ignores overload, leaves its bounds, or grows
// while nobody uses it.
TEST_CASE("the limit follows sheds and latency within its bounds")
{
    admission_controller gate(
        {.min_limit = 5, .initial_limit = 20, .max_limit = 30});
    serve(gate, 200, milliseconds(10), start);
    CHECK(gate.limit() == 20);
    serve(gate, 1, milliseconds(10), start, admission_outcome::overloaded);
    CHECK(gate.limit() == 18);
    // They ran before the limit was lowered.
    serve(gate, 9, milliseconds(10), start, admission_outcome::overloaded);
    CHECK(gate.limit() == 18);
    serve(gate, 9, milliseconds(10), start, admission_outcome::other);
    CHECK(gate.limit() == 18);
    time_point now = start;
    for (int second = 0; second < 20; ++second)
        serve(gate, 20, milliseconds(40), now += std::chrono::seconds(1));
    CHECK(gate.limit() == 5);
    // Always used up and calm again, it grows to its upper bound.
    for (unsigned id = 1; id <= 3000; ++id)
    {
        gate.submit({id}, 0, never, now);
        if (id > 30)
            gate.finish({id - 30}, admission_outcome::served, milliseconds(5),
                        now);
    }
    CHECK(gate.limit() == 30);
}

// Guards against an overload in which queries start too late to be of use, or
// in which a class gets nothing. Eight servers take 10 ms each on average;
// arrivals are 1.5 times what they can do, a quarter in each priority.
TEST_CASE("goodput holds and no priority starves at 1.5 times capacity")
{
    constexpr int servers = 8;
    constexpr milliseconds patience{100};
    admission_controller gate(
        {.min_limit = 2, .initial_limit = 32, .max_limit = 1024});
    std::mt19937_64 random(1);
    std::exponential_distribution<double> service(1 / 10e6);
    std::exponential_distribution<double> arrival(1.5 * servers / 10e6);
    const auto draw = [&](auto& distribution)
    { return duration(static_cast<std::int64_t>(distribution(random))); };

    struct running
    {
        time_point started;
        time_point deadline;
    };
    using end = std::pair<time_point, query_id>;
    std::priority_queue<end, std::vector<end>, std::greater<>> ends;
    // When each server is idle again; queries wait at the servers in order.
    std::array<time_point, servers> idle_at{};
    std::map<query_id, running> queries;
    std::array<unsigned, 4> good{};
    unsigned served = 0;
    time_point now = start;
    const auto apply = [&](const admission_controller::actions& actions)
    {
        for (const auto id : actions.refused)
            queries.erase(id);
        for (const auto id : actions.start)
        {
            queries.at(id).started = now;
            auto& server = *std::ranges::min_element(idle_at);
            server = std::max(server, now) + draw(service);
            ends.emplace(server, id);
        }
    };
    constexpr unsigned arrivals = 24000;
    for (unsigned number = 1; number <= arrivals; ++number)
    {
        const time_point next = now + draw(arrival);
        while (!ends.empty() && ends.top().first <= next)
        {
            const query_id id = ends.top().second;
            now = ends.top().first;
            ends.pop();
            const auto query = queries.at(id);
            queries.erase(id);
            const bool is_good = now <= query.deadline;
            good[id.value % 4] += is_good;
            served += is_good;
            apply(gate.finish(id,
                              is_good ? admission_outcome::served
                                      : admission_outcome::overloaded,
                              now - query.started, now));
        }
        now = next;
        apply(gate.expire(now));
        queries[{number}] = {now, now + patience};
        apply(gate.submit({number}, number % 4, now + patience, now));
    }
    const double capacity =
        std::chrono::duration<double>(now - start).count() * servers / 0.010;
    MESSAGE("goodput " << served / capacity << ", by priority " << good[0]
                       << ", " << good[1] << ", " << good[2] << ", " << good[3]
                       << ", limit " << gate.limit());
    CHECK(served >= 0.9 * capacity);
    for (const unsigned count : good)
        CHECK(count >= served / 20);
}
