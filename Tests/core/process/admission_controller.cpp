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
const time_point far_deadline = start + std::chrono::hours(1);

// Runs `count` queries one after another.
void serve(admission_controller& controller, int count, milliseconds latency,
           time_point now,
           admission_outcome outcome = admission_outcome::served)
{
    for (int number = 0; number < count; ++number)
    {
        const query_id id{1000000U + static_cast<unsigned>(number)};
        CHECK(controller.submit(id, 0, far_deadline, now).start.size() == 1);
        controller.finish(id, outcome, latency, now);
    }
}

}

// Guards against low priorities that starve, and against higher ones that get
// less than the rest.
TEST_CASE("each lower priority that waits gets one start in ten")
{
    admission_controller controller(
        {.min_limit = 1, .initial_limit = 1, .max_limit = 1});
    controller.submit({1}, 0, far_deadline, start);
    for (unsigned id = 4; id < 804; ++id)
        controller.submit({id}, id % 4, far_deadline, start);
    std::array<unsigned, 4> starts{};
    query_id running{1};
    for (int count = 0; count < 200; ++count)
    {
        const auto result =
            controller.finish(running, admission_outcome::served, {}, start);
        REQUIRE(result.start.size() == 1);
        running = result.start[0];
        ++starts[running.value % 4];
    }
    // The lower priorities get their first starts as the 10th, 11th and 12th.
    CHECK(starts[0] == 142);
    CHECK(starts[1] == 19);
    CHECK(starts[2] == 19);
    CHECK(starts[3] == 20);
}

// Guards against starting queries that have too little time left, and against
// refusing one while a slot is free.
TEST_CASE("a waiting query is refused when its time is below the median")
{
    admission_controller controller(
        {.min_limit = 1, .initial_limit = 1, .max_limit = 1});
    serve(controller, 100, milliseconds(20), start);
    // A slot is free: the query starts, although 10 ms are below the median.
    CHECK(controller.submit({1}, 0, start + milliseconds(10), start)
              .start.size() == 1);
    // No slot is free: 10 ms are too short; 50 ms suffice.
    CHECK(controller.submit({2}, 0, start + milliseconds(10), start)
              .refused.size() == 1);
    CHECK(controller.submit({3}, 0, start + milliseconds(50), start)
              .refused.empty());
    // One query waits ahead: its 20 ms exceed half of the slack of 30 ms.
    CHECK(controller.submit({4}, 0, start + milliseconds(50), start)
              .refused.size() == 1);
    const auto expiry = controller.next_expiry();
    REQUIRE(expiry.has_value());
    // Half of its 50 ms is less than 50 ms minus the median of 20 ms.
    CHECK(*expiry == start + milliseconds(25));
    CHECK(controller.expire(*expiry - milliseconds(1)).refused.empty());
    CHECK(controller.expire(*expiry).refused == std::vector<query_id>{{3}});
    CHECK(controller.submit({5}, 0, start, start).refused.size() == 1);
    CHECK(controller.cancel({1}, start).start.empty());
    CHECK(controller.running() + controller.waiting() == 0);
}

// Guards against a collapse in which queries start shortly before their
// deadlines, none is served, and so no median exists that would refuse any.
TEST_CASE("a waiting query is refused after half of its time")
{
    admission_controller controller(
        {.min_limit = 1, .initial_limit = 1, .max_limit = 1});
    CHECK(controller.submit({1}, 0, start + milliseconds(100), start)
              .start.size() == 1);
    CHECK(controller.submit({2}, 0, start + milliseconds(100), start)
              .refused.empty());
    // The first took half of the second's time, so the second isn't started.
    const auto ended =
        controller.finish({1}, admission_outcome::overloaded, milliseconds(50),
                          start + milliseconds(50));
    CHECK(ended.start.empty());
    CHECK(ended.refused == std::vector<query_id>{{2}});
}

// Guards against a limit that ignores overload, leaves its bounds, or grows
// while it isn't reached.
TEST_CASE("the limit adapts to shed queries and latency within its bounds")
{
    admission_controller controller(
        {.min_limit = 5, .initial_limit = 20, .max_limit = 30});
    serve(controller, 200, milliseconds(10), start);
    CHECK(controller.limit() == 20);
    serve(controller, 1, milliseconds(10), start,
          admission_outcome::overloaded);
    CHECK(controller.limit() == 18);
    // These queries started before the limit was lowered.
    serve(controller, 9, milliseconds(10), start,
          admission_outcome::overloaded);
    CHECK(controller.limit() == 18);
    serve(controller, 9, milliseconds(10), start, admission_outcome::other);
    CHECK(controller.limit() == 18);
    time_point now = start;
    for (int second = 0; second < 20; ++second)
        serve(controller, 20, milliseconds(40), now += std::chrono::seconds(1));
    CHECK(controller.limit() == 5);
    // Always reached, and with low latency again, it grows to its maximum.
    for (unsigned id = 1; id <= 3000; ++id)
    {
        controller.submit({id}, 0, far_deadline, now);
        if (id > 30)
            controller.finish({id - 30}, admission_outcome::served,
                              milliseconds(5), now);
    }
    CHECK(controller.limit() == 30);
}

// Guards against an overload in which queries start too late to finish in time,
// or in which a priority starves. Eight servers take 10 ms per query on
// average; queries arrive at 1.5 times their capacity, a quarter of them in
// each priority.
TEST_CASE("goodput holds and no priority starves at 1.5 times capacity")
{
    constexpr int servers = 8;
    constexpr milliseconds time_limit{100};
    admission_controller controller(
        {.min_limit = 2, .initial_limit = 32, .max_limit = 1024});
    std::mt19937_64 random(1);
    std::exponential_distribution<double> service(1 / 10e6);
    std::exponential_distribution<double> arrival(1.5 * servers / 10e6);
    const auto draw = [&](auto& distribution)
    { return duration(static_cast<std::int64_t>(distribution(random))); };

    struct submitted_query
    {
        time_point started;
        time_point deadline;
    };
    using finish_event = std::pair<time_point, query_id>;
    std::priority_queue<finish_event, std::vector<finish_event>, std::greater<>>
        finish_events;
    // When each server becomes idle; started queries queue at the servers.
    std::array<time_point, servers> idle_at{};
    std::map<query_id, submitted_query> queries;
    std::array<unsigned, 4> in_time{};
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
            finish_events.emplace(server, id);
        }
    };
    constexpr unsigned arrivals = 24000;
    for (unsigned number = 1; number <= arrivals; ++number)
    {
        const time_point next = now + draw(arrival);
        while (!finish_events.empty() && finish_events.top().first <= next)
        {
            const query_id id = finish_events.top().second;
            now = finish_events.top().first;
            finish_events.pop();
            const auto query = queries.at(id);
            queries.erase(id);
            const bool is_in_time = now <= query.deadline;
            in_time[id.value % 4] += is_in_time;
            served += is_in_time;
            apply(controller.finish(id,
                                    is_in_time ? admission_outcome::served
                                               : admission_outcome::overloaded,
                                    now - query.started, now));
        }
        now = next;
        apply(controller.expire(now));
        queries[{number}] = {now, now + time_limit};
        apply(controller.submit({number}, number % 4, now + time_limit, now));
    }
    const double capacity =
        std::chrono::duration<double>(now - start).count() * servers / 0.010;
    MESSAGE("goodput " << served / capacity << ", by priority " << in_time[0]
                       << ", " << in_time[1] << ", " << in_time[2] << ", "
                       << in_time[3] << ", limit " << controller.limit());
    CHECK(served >= 0.9 * capacity);
    for (const unsigned count : in_time)
        CHECK(count >= served / 20);
}
