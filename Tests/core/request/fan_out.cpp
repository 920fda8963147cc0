#include "core/request/fan_out.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 1h;

// A request to `services` services of `replicas` upstreams each.
struct world
{
    upstream_registry registry;
    retry_budgets budgets;
    std::mt19937_64 random{1};
    fan_out::options plan;
    std::vector<fan_out::send> sends;
    std::set<attempt_id> released;
    std::optional<fan_out::finish> end;
    std::optional<fan_out> request;
    time_point wake_at;

    world(unsigned services, unsigned replicas, unsigned reserve = 100)
        : budgets({.ratio = 0, .reserve = reserve})
    {
        for (unsigned service = 0; service < services; ++service)
        {
            const auto name = "s" + std::to_string(service);
            this->plan.services.push_back(name);
            for (unsigned replica = 0; replica < replicas; ++replica)
                this->registry.set({.id = name + "-" + std::to_string(replica),
                                    .service = name,
                                    .address = "10.0.0.1:80"},
                                   start);
        }
        this->plan.upstreams = &this->registry;
        this->plan.budgets = &this->budgets;
        this->plan.random = &this->random;
        this->plan.max_attempts = 2;
        this->plan.answer_by = start + 100ms;
        this->plan.deadline = start + 1s;
        this->plan.hedge_delay = 30ms;
    }

    void run()
    {
        this->request.emplace(this->plan);
        this->take(this->request->start(start));
    }

    void take(const std::vector<fan_out::action>& actions)
    {
        for (const auto& action : actions)
        {
            // Nothing may follow the end.
            REQUIRE_FALSE(this->end);
            if (const auto* sent = std::get_if<fan_out::send>(&action))
                this->sends.push_back(*sent);
            else if (const auto* gone = std::get_if<fan_out::release>(&action))
                this->released.insert(gone->attempt);
            else if (const auto* wake = std::get_if<fan_out::wake>(&action))
                this->wake_at = wake->at;
            else
                this->end = std::get<fan_out::finish>(action);
        }
    }

    void finish(std::size_t send, attempt_outcome how, duration after)
    {
        if (how != attempt_outcome::unsent)
            this->request->handle_sent(this->sends.at(send).attempt);
        this->take(this->request->handle_end(this->sends.at(send).attempt, how,
                                             start + after));
    }

    void pass(duration after)
    {
        this->take(this->request->handle_timer(start + after));
    }

    std::set<std::string> used() const
    {
        std::set<std::string> ids;
        for (const auto& sent : this->sends)
            ids.insert(sent.upstream->spec.id);
        return ids;
    }
};

}

// Guards against a second run of a request that may run once, against a repeat
// without proof, and against a promise "not run" that is not true.
TEST_CASE("what follows the end of the only attempt")
{
    using enum attempt_outcome;
    struct scenario
    {
        const char* what;
        retry_rule retries;
        attempt_outcome first;
        std::size_t sends;
        std::optional<fan_out_result> result;
    };
    for (const auto& each :
         {scenario{"idempotent, failed", retry_rule::idempotent, failed, 2, {}},
          scenario{
              "idempotent, refused", retry_rule::idempotent, refused, 2, {}},
          scenario{"idempotent, unsent", retry_rule::idempotent, unsent, 2, {}},
          scenario{"once, failed", retry_rule::at_most_once, failed, 1,
                   fan_out_result::failed},
          scenario{"once, refused", retry_rule::at_most_once, refused, 2, {}},
          scenario{"once, unsent", retry_rule::at_most_once, unsent, 2, {}},
          scenario{"once, answered", retry_rule::at_most_once, answered, 1,
                   fan_out_result::answered}})
    {
        CAPTURE(each.what);
        world world(1, 2);
        world.plan.retries = each.retries;
        world.run();
        REQUIRE(world.sends.size() == 1);
        world.finish(0, each.first, 5ms);
        CHECK(world.sends.size() == each.sends);
        CHECK(world.used().size() == each.sends);
        CHECK(world.end.has_value() == each.result.has_value());
        if (each.result && world.end)
            CHECK(world.end->result == *each.result);
    }
}

// Guards against a hedge of a request that may run once.
TEST_CASE("only idempotent requests are hedged")
{
    for (const auto retries :
         {retry_rule::idempotent, retry_rule::at_most_once})
    {
        world world(1, 2);
        world.plan.retries = retries;
        world.run();
        world.pass(30ms);
        CHECK(world.sends.size() ==
              (retries == retry_rule::idempotent ? 2 : 1));
    }
}

// Guards against more upstreams than the route allows. A refusal may be
// answered by the same upstream again, as grey ones refuse part of their
// requests (bluemahoe-rates, scale-1).
TEST_CASE("a leg never uses more upstreams than the route allows")
{
    world world(1, 5);
    world.run();
    while (!world.end)
        world.finish(world.sends.size() - 1, attempt_outcome::refused,
                     std::chrono::milliseconds(world.sends.size()));
    CHECK(world.used().size() == 2);
    CHECK(world.sends.size() == 4);
    CHECK(world.end->result == fan_out_result::not_run);
}

// Guards against repeats beyond the budget, whatever causes them.
TEST_CASE("repeats draw on the budget, unsent attempts do not")
{
    struct scenario
    {
        unsigned reserve;
        attempt_outcome end;
        std::size_t sends;
    };
    for (const auto& [reserve, end, sends] :
         {scenario{0, attempt_outcome::refused, 1},
          scenario{0, attempt_outcome::failed, 1},
          scenario{1, attempt_outcome::refused, 2},
          scenario{0, attempt_outcome::unsent, 2}})
    {
        world world(1, 3, reserve);
        world.run();
        world.finish(0, end, 1ms);
        CHECK(world.sends.size() == sends);
        CHECK(world.end.has_value() == (sends == 1));
    }
}

// Guards against an answer that is held back until nothing is worth waiting
// for, one below the floor, and one that waits although it can't succeed.
TEST_CASE("a scattered answer is given at its target, or when it is complete")
{
    struct scenario
    {
        const char* what;
        double floor;
        // Legs of ten that answer at 10 ms, and that fail there for good.
        unsigned answered, failed;
        bool has_ended_before_target;
        std::optional<fan_out_result> at_target;
    };
    using enum fan_out_result;
    for (const auto& each :
         {scenario{"complete", 0.89, 10, 0, true, fan_out_result::answered},
          scenario{"one is late", 0.89, 9, 0, false, fan_out_result::answered},
          scenario{"two are late", 0.89, 8, 0, false, {}},
          scenario{"two are late, low floor", 0.75, 8, 0, false,
                   fan_out_result::answered},
          scenario{"one failed", 0.89, 9, 1, true, fan_out_result::answered},
          scenario{"two failed", 0.89, 0, 2, true, fan_out_result::failed}})
    {
        CAPTURE(each.what);
        world world(10, 1, 0);
        world.plan.min_coverage = each.floor;
        world.plan.max_attempts = 1;
        world.run();
        REQUIRE(world.sends.size() == 10);
        for (unsigned leg = 0; leg < each.answered; ++leg)
            world.finish(leg, attempt_outcome::answered, 10ms);
        for (unsigned leg = 0; leg < each.failed && !world.end; ++leg)
            world.finish(9 - leg, attempt_outcome::failed, 10ms);
        CHECK(world.end.has_value() == each.has_ended_before_target);
        if (!world.end)
        {
            world.pass(30ms);
            world.pass(99ms);
            CHECK_FALSE(world.end);
            world.pass(100ms);
        }
        CHECK(world.end.has_value() == each.at_target.has_value());
        if (world.end)
            CHECK(world.end->result == *each.at_target);
        else
        {
            // The next part makes it a success, which is given at once.
            world.finish(9, attempt_outcome::answered, 200ms);
            REQUIRE(world.end);
            CHECK(world.end->result == fan_out_result::answered);
        }
    }
}

// Guards against a request that has no upstream and waits, and against one
// that is sent where a success is out of reach.
TEST_CASE("a request that can't be served is refused at once")
{
    world nobody(3, 0);
    nobody.plan.min_coverage = 0.5;
    nobody.run();
    REQUIRE(nobody.end);
    CHECK(nobody.end->result == fan_out_result::not_run);
    CHECK(nobody.sends.empty());
}

// Guards against upstreams that work on for a caller who has gone, and against
// losers of a race that are reported.
TEST_CASE("every attempt that is not needed is released")
{
    SUBCASE("the caller has gone")
    {
        world world(4, 2);
        world.run();
        world.take(world.request->abandon());
        CHECK(world.released.size() == 4);
        CHECK_FALSE(world.end);
    }
    SUBCASE("a hedge has won")
    {
        world world(1, 2);
        world.run();
        world.pass(30ms);
        world.finish(1, attempt_outcome::answered, 40ms);
        REQUIRE(world.end);
        CHECK(world.released == std::set{world.sends[0].attempt});
        CHECK(world.end->legs[0].answer == world.sends[1].attempt);
    }
    SUBCASE("the deadline has passed")
    {
        world world(2, 2);
        world.run();
        world.finish(0, attempt_outcome::answered, 10ms);
        world.request->handle_sent(world.sends[1].attempt);
        world.pass(1s);
        REQUIRE(world.end);
        CHECK(world.end->result == fan_out_result::timed_out);
    }
}

// Guards against answers that change after they were counted and against
// endless requests: random ends and times, every property checked.
TEST_CASE("random ends keep every promise")
{
    using enum attempt_outcome;
    for (unsigned seed = 0; seed < 2000; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const unsigned services = 1 + random() % 6;
        world world(services, random() % 4, random() % 6);
        world.plan.max_attempts = 1 + random() % 3;
        world.plan.min_coverage = services == 1 ? 1 : 0.5;
        world.plan.retries = services == 1 && random() % 2 == 0
                                 ? retry_rule::at_most_once
                                 : retry_rule::idempotent;
        world.run();
        std::set<std::size_t> open;
        std::map<std::size_t, unsigned> may_have_run;
        std::size_t known = 0;
        duration time{0};
        while (!world.end)
        {
            while (known < world.sends.size())
                open.insert(known++);
            time += std::chrono::milliseconds(1 + random() % 40);
            if (open.empty() || random() % 4 == 0)
            {
                world.pass(time);
                REQUIRE(time < 2s);
                continue;
            }
            const auto at = std::next(
                open.begin(), static_cast<long>(random() % open.size()));
            constexpr std::array ends{answered, unsent, refused, failed};
            const auto end = ends.at(random() % ends.size());
            if (end == answered || end == failed)
                ++may_have_run[world.sends[*at].leg];
            const auto send = *at;
            open.erase(at);
            world.finish(send, end, time);
        }
        const bool has_run = !may_have_run.empty();
        if (world.end->result == fan_out_result::not_run)
            CHECK_FALSE(has_run);
        if (world.plan.retries == retry_rule::at_most_once)
            CHECK(may_have_run[0] <= 1);
        const auto covered = std::ranges::count_if(
            world.end->legs, [](const fan_out::leg_outcome& leg)
            { return leg.answer.has_value(); });
        if (world.end->result == fan_out_result::answered)
            CHECK(static_cast<double>(covered) >=
                  world.plan.min_coverage * services);
        for (std::size_t leg = 0; leg < services; ++leg)
            if (world.end->legs[leg].answer)
                CHECK(world.sends[world.end->legs[leg].answer->value - 1].leg ==
                      leg);
    }
}

// Guards against "may have run" for a request that never left this instance:
// its caller would not know that it may ask again.
TEST_CASE("a request that only waited for a connection has not run")
{
    for (const bool is_sent : {false, true})
    {
        CAPTURE(is_sent);
        world world(1, 1);
        world.plan.retries = retry_rule::at_most_once;
        world.run();
        if (is_sent)
            world.request->handle_sent(world.sends[0].attempt);
        world.pass(1s);
        REQUIRE(world.end);
        CHECK(world.end->result ==
              (is_sent ? fan_out_result::timed_out : fan_out_result::not_run));
        CHECK(world.released.size() == 1);
    }
}
