#include "net/upstream_pool.hpp"

#include "net/loopback.hpp"
#include "net/pool_fixture.hpp"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <thread>
#include <vector>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against replies that are lost, assigned to other calls, or recorded
// wrongly in upstream_state.
TEST_CASE_FIXTURE(pool_fixture, "each reply ends its call and is recorded")
{
    struct reply_case
    {
        unsigned status;
        std::size_t body_bytes;
        std::optional<std::size_t> announced;
        // Empty when the call ends with a reply.
        std::optional<error_kind> kind;
        // True when the latency of a failure is recorded.
        bool is_slow;
    };
    const std::vector<reply_case> table{
        {200, 10, {}, {}, false},
        {409, 10, {}, {}, false},
        {503, 10, {}, {}, true},
        {500, 10, {}, {}, true},
        {200, reply_limit, {}, {}, false},
        {200, reply_limit + 1, {}, error_kind::reply_too_large, true},
        {200, 10, 11, error_kind::truncated_reply, true},
        {200, 0, 1, error_kind::truncated_reply, true},
    };
    for (const auto& scenario : table)
    {
        CAPTURE(scenario.status);
        CAPTURE(scenario.body_bytes);
        this->state = std::make_shared<upstream_state>(
            "u", "zone", std::chrono::steady_clock::now());
        this->set_share(3);
        this->answer.status = scenario.status;
        this->answer.body = std::string(scenario.body_bytes, 'x');
        this->answer.announced_length = scenario.announced;
        const auto outcome = this->run(make_call("/any"));
        CHECK(outcome.has_value() == !scenario.kind);
        if (outcome)
            CHECK(outcome.value().status == scenario.status);
        if (outcome)
            CHECK(outcome.value().body == this->answer.body);
        if (!outcome)
            CHECK(outcome.error().kind == *scenario.kind);
        if (!outcome)
            CHECK(outcome.error().was_sent);
        CHECK((this->state->smoothed_latency() >= 1s) == scenario.is_slow);
        CHECK(this->state->in_flight() == 0);
    }
    CHECK(this->received_count() == table.size());
}

// Guards against replies whose index versions, load or draining state are not
// recorded.
TEST_CASE_FIXTURE(pool_fixture, "reply headers are stored")
{
    this->answer.headers = {
        {"x-load", "1.5"}, {"x-draining", "0"}, {"x-index-versions", "1, 3"}};
    CHECK(this->run(make_call("/any")));
    CHECK(this->state->reported_load() == 1.5);
    CHECK(this->state->may_hold(index_version{3}));
    CHECK(!this->state->may_hold(index_version{2}));

    this->answer.status = 409;
    this->answer.headers.clear();
    this->answer.body = R"({"error":"version_unavailable","versions":[2]})";
    CHECK(this->run(make_call("/any")));
    CHECK(this->state->may_hold(index_version{2}));
    CHECK(!this->state->may_hold(index_version{3}));
    CHECK(!this->state->is_draining());
}

// Guards against work that is sent to a draining upstream, and against an
// upstream that never gets work again after its draining has ended.
TEST_CASE_FIXTURE(pool_fixture, "a draining upstream gets no further work")
{
    auto calls = this->hold(2);
    this->answer.headers = {{"x-draining", "1"}};
    CHECK(this->run(make_call("/any")));
    CHECK(this->state->is_draining());
    const auto refused = this->run(make_call("/any"));
    REQUIRE(!refused);
    CHECK(refused.error().kind == error_kind::upstream_shed);
    CHECK(!refused.error().was_sent);
    CHECK(this->release(calls) == 2);
    CHECK(wait_until([&] { return this->upstream.connections().open == 0; }));
    CHECK(this->received_count() == 3);

    this->answer.headers = {{"x-draining", "0"}};
    CHECK(this->run(make_call("/status", "")));
    CHECK(!this->state->is_draining());
    CHECK(this->run(make_call("/any")));
}

// Guards against exceeding the connection share: together with other instances
// that would exceed the upstream's connection limit.
TEST_CASE_FIXTURE(pool_fixture, "the connection share is never exceeded")
{
    this->create_pool({.idle_timeout = 60s}, 3);
    std::vector<std::future<upstream_result>> calls;
    for (unsigned number = 0; number < 300; ++number)
        calls.push_back(this->start(make_call("/any"), number % 2));
    unsigned answered = 0;
    for (auto& call : calls)
        answered += call.get() ? 1 : 0;
    CHECK(answered == 300);
    CHECK(this->upstream.connections().accepted <= 3);
    CHECK(this->peak_running <= 3);
    CHECK(this->state->in_flight() == 0);

    // Reducing the share closes the excess connections.
    this->set_share(1);
    auto held_calls = this->hold(1);
    CHECK(this->release(held_calls) == 1);
    CHECK(wait_until([&] { return this->upstream.connections().open <= 1; }));
}

// Guards against work that is sent after its deadline, or although its
// before_send has refused it, as the run registry does for withdrawn work.
TEST_CASE_FIXTURE(pool_fixture, "expired and withdrawn work is never sent")
{
    this->set_share(1);
    auto held_calls = this->hold(1);
    std::vector<std::future<upstream_result>> late;
    for (unsigned number = 0; number < 10; ++number)
    {
        auto call = make_call("/any");
        call.deadline = std::chrono::steady_clock::now() + 20ms;
        late.push_back(this->start(call, number % 2));
    }
    auto withdrawn = make_call("/any");
    withdrawn.before_send = [] { return false; };
    late.push_back(this->start(withdrawn));
    for (unsigned number = 0; number < 10; ++number)
        late[number].wait();
    CHECK(this->release(held_calls) == 1);
    for (auto& call : late)
    {
        const auto outcome = call.get();
        REQUIRE(!outcome);
        CHECK(outcome.error().kind == error_kind::deadline_passed);
        CHECK(!outcome.error().was_sent);
    }
    CHECK(this->received_count() == 1);
    CHECK(this->state->in_flight() == 0);
    CHECK(this->run(make_call("/any")));
}

// Guards against waiting calls that start before more urgent ones.
TEST_CASE_FIXTURE(pool_fixture,
                  "waiting calls start by priority, then deadline")
{
    this->set_share(1);
    auto calls = this->hold(1);
    const std::vector<std::pair<unsigned, std::string>> table{
        {2, "e"}, {0, "b"}, {0, "a"}, {1, "d"}, {1, "c"}};
    std::chrono::seconds deadline{20};
    for (const auto& [priority, body] : table)
    {
        auto call = make_call("/any", body);
        call.priority = priority;
        call.deadline = std::chrono::steady_clock::now() + --deadline;
        calls.push_back(this->start(call));
    }
    CHECK(wait_until([&] { return this->state->in_flight() == 6; }));
    CHECK(this->release(calls) == 6);
    CHECK(this->received_bodies() ==
          std::vector<std::string>{"work", "a", "b", "c", "d", "e"});
}

// Guards against losing one request on each of several silent connections.
TEST_CASE_FIXTURE(pool_fixture, "silent connections are replaced")
{
    this->create_pool({.attempt_timeout = 100ms}, 3);
    auto calls = this->hold(3);
    CHECK(this->release(calls) == 3);
    REQUIRE(wait_until([&] { return this->upstream.connections().open == 3; }));
    asio::post(this->upstream_worker.at(0),
               [this] { this->path->silence_existing(); });
    const auto silent = this->run(make_call("/any"));
    REQUIRE(!silent);
    CHECK(silent.error().kind == error_kind::upstream_timeout);
    CHECK(silent.error().was_sent);
    unsigned answered = 0;
    for (unsigned number = 0; number < 10; ++number)
        answered += this->run(make_call("/any")) ? 1 : 0;
    CHECK(answered == 10);
    CHECK(this->upstream.connections().accepted == 4);
    CHECK(this->state->in_flight() == 0);
}

// Guards against non-idempotent work on a connection that may have become
// silent while it was idle.
TEST_CASE_FIXTURE(pool_fixture, "fresh calls avoid connections that were idle")
{
    this->set_share(1);
    auto call = make_call("/any");
    call.use = connection_use::new_or_recently_active;
    CHECK(this->run(call));
    CHECK(this->run(call));
    CHECK(this->upstream.connections().accepted == 1);
    std::this_thread::sleep_for(1100ms);
    CHECK(this->run(make_call("/any")));
    CHECK(this->upstream.connections().accepted == 1);
    std::this_thread::sleep_for(1100ms);
    CHECK(this->run(call));
    CHECK(this->upstream.connections().accepted == 2);
}

// Guards against idle connections that are kept open to an upstream with few
// connections to share.
TEST_CASE_FIXTURE(pool_fixture, "an upstream may have its own idle timeout")
{
    this->create_pool({.idle_timeout = 60s}, 1);
    CHECK(this->run(make_call("/any")));
    std::this_thread::sleep_for(1100ms);
    CHECK(this->upstream.connections().open == 1);
    this->pool->set_upstreams({{"u",
                                {.endpoint = this->path->listen(),
                                 .state = this->state,
                                 .idle_timeout = 100ms}}});
    // The connection has already been idle for longer than the new timeout.
    CHECK(wait_until([&] { return this->upstream.connections().open == 0; }));
    CHECK(this->run(make_call("/any")));
    CHECK(this->upstream.connections().accepted == 2);
    CHECK(wait_until([&] { return this->upstream.connections().open == 0; }));
}

// Guards against results that are passed to callers which have cancelled, and
// against upstreams that continue to work for them.
TEST_CASE_FIXTURE(pool_fixture, "a cancelled call never calls its handler")
{
    std::promise<std::vector<upstream_call_id>> started;
    asio::post(this->workers.at(1),
               [&]
               {
                   std::vector<upstream_call_id> ids;
                   for (unsigned number = 0; number < 20; ++number)
                       ids.push_back(this->pool->start(
                           make_call("/hold"), [this](const upstream_result&)
                           { ++this->handlers_called; }));
                   started.set_value(std::move(ids));
               });
    const auto ids = started.get_future().get();
    CHECK(wait_until([&] { return this->received_count() == 3; }));
    // In reverse order, so that cancelling a running call does not start a
    // waiting one.
    asio::post(this->workers.at(1),
               [&]
               {
                   for (auto id = ids.rbegin(); id != ids.rend(); ++id)
                       this->pool->cancel(*id);
               });
    CHECK(wait_until([&] { return this->peers_gone == 3; }));
    this->hold_gate.is_open = true;
    CHECK(this->start(make_call("/any"), 1).get());
    CHECK(this->handlers_called == 1);
    CHECK(this->received_count() == 4);
    CHECK(this->state->in_flight() == 0);
}

// Guards against calls that never end when their upstream can't be reached or
// is removed from the set.
TEST_CASE_FIXTURE(pool_fixture, "unreachable and removed upstreams end calls")
{
    this->set_share(1);
    auto calls = this->hold(1);
    auto waiting = this->start(make_call("/any"));
    CHECK(wait_until([&] { return this->state->in_flight() == 2; }));
    this->pool->set_upstreams({});
    const auto removed = waiting.get();
    CHECK(this->release(calls) == 1);
    CHECK(wait_until([&] { return this->upstream.connections().open == 0; }));
    const auto unknown = this->run(make_call("/any"));

    this->set_share(1);
    std::promise<void> closed;
    asio::post(this->upstream_worker.at(0),
               [&]
               {
                   CHECK(this->path->set_refuse(true));
                   closed.set_value();
               });
    closed.get_future().wait();
    const auto refused = this->run(make_call("/any"));
    for (const auto* outcome : {&removed, &unknown, &refused})
    {
        REQUIRE(!*outcome);
        CHECK(outcome->error().kind == error_kind::connect_failed);
        CHECK(!outcome->error().was_sent);
    }
    CHECK(this->received_count() == 1);
    CHECK(this->state->in_flight() == 0);
}

// Guards against handlers that run after their pool was destroyed, and against
// connections that stay open.
TEST_CASE_FIXTURE(pool_fixture, "a destroyed pool calls no handler")
{
    auto calls = this->hold(3);
    this->pool.reset();
    this->hold_gate.is_open = true;
    CHECK(wait_until([&] { return this->upstream.connections().open == 0; }));
    CHECK(wait_until([&] { return this->state->in_flight() == 0; }));
    CHECK(this->handlers_called == 0);
}
