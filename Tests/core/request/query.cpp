#include "core/request/query.hpp"
#include "core/process/service_state.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace wisteriahatch;
using std::chrono::milliseconds;

namespace
{

const time_point start{std::chrono::seconds(1000)};
const time_point deadline = start + milliseconds(100);

// A query of two shards in one group of three replicas, with versions 1 and 2.
struct fixture
{
    fixture()
    {
        const std::vector<shard_spec> shards{{"s0", 0}, {"s1", 0}};
        this->service.indexes = {{{2}, shards}, {{1}, shards}};
        this->service.groups.push_back({.name = "g"});
        upstream_table table;
        for (const char* name : {"a", "b", "c"})
        {
            this->service.groups[0].replicas.push_back({name, "d"});
            table.emplace(name,
                          std::make_shared<upstream_state>(name, "d", start));
        }
        this->upstreams = std::make_shared<const upstream_table>(table);
    }

    query make()
    {
        return query({.request_id = "q",
                      .upstreams = this->upstreams,
                      .service = &this->service,
                      .caller_class = &this->caller_class,
                      .shared_state = &this->shared,
                      .random = &this->random,
                      .deadline = deadline});
    }

    service_spec service;
    class_spec caller_class{.hedge_budget_percent = 100};
    service_state shared{
        {.hedge_trigger = "fixed", .fixed_hedge_delay = milliseconds(10)}};
    std::mt19937_64 random{1};
    upstream_table_ptr upstreams;
};

template <class Action>
std::vector<Action> actions_of(const std::vector<query_action>& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions)
    {
        if (const auto* match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

search_reply reply_to(const send_attempt& send)
{
    return {send.wire_request_id, send.shard, send.version, {{"k", "v"}}};
}

}

// Guards against a straggler that delays the answer, keeps running, or looks
// fast because its attempts are cancelled.
TEST_CASE("a straggler is cancelled after its hedge and its latency recorded")
{
    fixture setup;
    auto machine = setup.make();
    const auto sends = actions_of<send_attempt>(machine.start(start));
    REQUIRE(sends.size() == 2);
    machine.handle_reply(sends[1].attempt, reply_to(sends[1]), start);
    const auto now = start + milliseconds(10);
    const auto hedges = actions_of<send_attempt>(machine.handle_timer(now));
    REQUIRE(hedges.size() == 1);
    CHECK(hedges[0].replica != sends[0].replica);
    const auto actions = machine.handle_reply(
        hedges[0].attempt, reply_to(hedges[0]), now + milliseconds(1));
    REQUIRE(actions_of<cancel_attempt>(actions).size() == 1);
    CHECK(actions_of<cancel_attempt>(actions)[0].attempt == sends[0].attempt);
    REQUIRE(actions_of<finish_query>(actions).size() == 1);
    CHECK(actions_of<finish_query>(actions)[0].answer.is_complete);
    CHECK(setup.upstreams->at(sends[0].replica)->smoothed_latency() ==
          milliseconds(11));
}

// Guards against a second plan that has no time to finish, and against a
// partial answer when another version is complete.
TEST_CASE("a lost version causes a second plan while half the time is left")
{
    for (const int elapsed : {0, 50, 51})
    {
        CAPTURE(elapsed);
        fixture setup;
        auto machine = setup.make();
        auto sends = actions_of<send_attempt>(machine.start(start));
        const std::vector<index_version> held{{1}};
        for (const auto& [name, replica] : *setup.upstreams)
            replica->set_versions(held);
        const auto actions =
            machine.handle_failure(sends[0].attempt, error_kind::wrong_version,
                                   start + milliseconds(elapsed));
        const bool is_planned = elapsed <= 50;
        CHECK(actions_of<cancel_attempt>(actions).size() ==
              (is_planned ? 1 : 0));
        sends = actions_of<send_attempt>(actions);
        CHECK(sends.size() == (is_planned ? 2 : 0));
        for (const auto& send : sends)
            CHECK(send.version == index_version{1});
    }
}

// Guards against answering with late rows when the process resumes after the
// deadline.
TEST_CASE("any event after the deadline ends the query without new rows")
{
    using event = std::vector<query_action> (*)(query&, const send_attempt&);
    const event events[] = {
        [](query& machine, const send_attempt& send)
        { return machine.handle_timer(send.deadline); },
        [](query& machine, const send_attempt& send) {
            return machine.handle_reply(send.attempt, reply_to(send),
                                        send.deadline);
        },
        [](query& machine, const send_attempt& send)
        {
            return machine.handle_failure(
                send.attempt, error_kind::connect_failed, send.deadline);
        }};
    for (const auto& apply : events)
    {
        fixture setup;
        auto machine = setup.make();
        const auto sends = actions_of<send_attempt>(machine.start(start));
        const auto finish = actions_of<finish_query>(apply(machine, sends[0]));
        REQUIRE(finish.size() == 1);
        CHECK(finish[0].answer.rows.empty());
        CHECK(finish[0].answer.lacked == std::vector<std::string>{"s0", "s1"});
    }
}

// Guards against upstreams that keep working after the caller has disconnected.
TEST_CASE("an abandoned query cancels its attempts and ends silently")
{
    fixture setup;
    auto machine = setup.make();
    const auto sends = actions_of<send_attempt>(machine.start(start));
    const auto actions = machine.abandon(start);
    CHECK(actions.size() == 2);
    CHECK(actions_of<cancel_attempt>(actions).size() == 2);
    CHECK(machine.handle_reply(sends[0].attempt, reply_to(sends[0]), start)
              .empty());
    CHECK(machine.handle_timer(deadline).empty());
}

// Guards against waiting without a sub-request, and against sending after the
// deadline or to a draining replica.
TEST_CASE("a query that can't send any sub-request ends at once")
{
    for (const int problem : {0, 1, 2})
    {
        fixture setup;
        for (const auto& [name, replica] : *setup.upstreams)
            replica->set_draining(problem == 0);
        if (problem == 1)
            setup.service.indexes.clear();
        const auto now = problem == 2 ? deadline : start;
        const auto actions = setup.make().start(now);
        REQUIRE(actions.size() == 1);
        const auto& answer = std::get<finish_query>(actions[0]).answer;
        CHECK_FALSE(answer.is_complete);
        CHECK(answer.lacked.size() == (problem == 1 ? 0 : 2));
    }
}

// Guards against giving up a shard while an ejected replica may have recovered,
// and against sending hedges to ejected replicas.
TEST_CASE("an ejected replica is tried last, and never for a hedge")
{
    fixture setup;
    auto& ejected = *setup.upstreams->at("a");
    for (unsigned time = 0; time < upstream_state::ejection_failures; ++time)
        ejected.record_failure(milliseconds(1), start);
    auto machine = setup.make();
    machine.start(start);
    for (auto now = start; now < deadline; now += milliseconds(10))
    {
        for (const auto& hedge :
             actions_of<send_attempt>(machine.handle_timer(now)))
            CHECK(hedge.replica != "a");
    }
    auto second = setup.make();
    auto sends = actions_of<send_attempt>(second.start(start));
    for (const int failures : {1, 2, 3})
    {
        CHECK((sends[0].replica == "a") == (failures == 3));
        sends = actions_of<send_attempt>(second.handle_failure(
            sends[0].attempt, error_kind::connect_failed, start));
    }
    CHECK(sends.empty());
}
