#include "core/request/run_registry.hpp"

#include <doctest/doctest.h>
#include <sstream>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

// Plays a script of events for one id and logs the result: "d1" for the
// dispatch of attempt 1, outcomes by name, and "send+" or "send-" for the
// result of confirm_send.
class script
{
public:
    std::string play(const std::string& steps)
    {
        std::istringstream words(steps);
        for (std::string word; words >> word;)
            this->step(word);
        return this->log.substr(std::min<std::size_t>(1, this->log.size()));
    }

    run_registry registry{{.instance = "a:1", .self = {7}, .max_records = 2}};
    time_point now = start;
    run_id id = registry.issue(start).value();

private:
    void step(const std::string& word)
    {
        const run_submission arrival{.id = this->id,
                                     .waiter = ++this->waiters,
                                     .deadline = this->now + 1s};
        if (word == "submit")
            this->note(this->registry.submit(arrival, this->now));
        else if (word == "submit_only")
            this->note(
                this->registry.submit_without_dispatch(arrival, this->now));
        else if (word == "send" || word == "send1")
            this->log +=
                this->registry.confirm_send(
                    this->id, word == "send" ? this->attempt : 1, this->now)
                    ? " send+"
                    : " send-";
        else if (word == "reply" || word == "reply1")
            this->note(this->registry.handle_reply(
                this->id, word == "reply" ? this->attempt : 1, "r", this->now));
        else if (word == "cancel")
            this->note(this->registry.cancel_unsent(this->now));
        else if (word == "later")
            this->now += 2s;
        else if (word == "expired")
            this->now = start + 15min;
        else if (word == "timer")
            this->note(this->registry.handle_timer(this->now));
        else
            this->note(this->registry.handle_failure(
                this->id, word.ends_with('1') ? 1 : this->attempt,
                word.starts_with("never")     ? run_failure::never_sent
                : word.starts_with("refused") ? run_failure::refused_by_upstream
                                              : run_failure::lost_after_send,
                this->now));
    }

    void note(const std::vector<run_action>& actions)
    {
        for (const auto& action : actions)
        {
            if (const auto* dispatched = std::get_if<dispatch_run>(&action))
            {
                this->attempt = dispatched->attempt;
                this->log += " d" + std::to_string(this->attempt);
            }
            else
            {
                this->log += ' ';
                this->log += to_string(std::get<answer_run>(action).outcome);
            }
        }
    }

    std::string log;
    std::uint64_t waiters = 0;
    unsigned attempt = 1;
};

}

// Guards against a second execution, against not_run without proof, and
// against outcomes that change after they were reported.
TEST_CASE("the registry follows the table of run states")
{
    struct row
    {
        const char* steps;
        const char* expected_log;
    };
    const row rows[] = {
        {"submit send reply submit", "d1 send+ done done"},
        {"submit submit send reply", "d1 send+ done done"},
        {"submit send reply reply refused lost", "d1 send+ done"},
        {"submit reply", "d1"},
        {"submit send send", "d1 send+ send-"},
        // Retries follow only proof that nothing started.
        {"submit never send never1", "d1 d2 send+"},
        {"submit send refused send refused send refused submit",
         "d1 send+ d2 send+ d3 send+ not_run not_run"},
        {"submit send refused refused1 send1", "d1 send+ d2 send-"},
        {"submit send refused later send timer", "d1 send+ d2 send- not_run"},
        {"submit later never", "d1 not_run"},
        // An earlier attempt ran although it was reported as not started.
        {"submit send refused reply1 send submit",
         "d1 send+ d2 done send- done"},
        // After the first byte was sent, the outcome is unknown without proof.
        {"submit send lost submit", "d1 send+ unknown unknown"},
        {"submit send never", "d1 send+ unknown"},
        {"submit lost", "d1 unknown"},
        {"submit send lost reply submit", "d1 send+ unknown done"},
        {"submit send lost refused submit", "d1 send+ unknown not_run"},
        {"submit send later timer reply submit", "d1 send+ unknown done"},
        {"submit send later timer submit", "d1 send+ unknown"},
        // Cancellation.
        {"submit cancel send reply never submit", "d1 not_run send- not_run"},
        {"submit send cancel reply", "d1 send+ done"},
        {"submit later timer send", "d1 not_run send-"},
        {"submit later send timer", "d1 send- not_run"},
        {"submit_only submit", "not_run not_run"},
        {"submit submit_only send", "d1 not_run not_run send-"},
        {"submit send submit_only reply", "d1 send+ done done"},
        {"cancel submit", "d1"},
        // Expiry.
        {"expired submit", "unknown"},
        {"submit send reply expired submit", "d1 send+ done unknown"},
        {"submit expired timer send submit", "d1 not_run send- unknown"},
        {"submit send expired timer reply", "d1 send+ unknown"},
    };
    for (const auto& [steps, expected_log] : rows)
    {
        CAPTURE(steps);
        CHECK(script().play(steps) == expected_log);
    }
}

// Guards against a run by another incarnation on the same address.
TEST_CASE("only the issuing incarnation owns an id")
{
    script played;
    auto other = played.id;
    CHECK(played.registry.owns(other));
    other.owner = {8};
    CHECK_FALSE(played.registry.owns(other));
    const auto actions =
        played.registry.submit({.id = other, .deadline = start + 1s}, start);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<answer_run>(actions[0]).outcome == run_outcome::unknown);
    CHECK_FALSE(played.registry.confirm_send(other, 1, start));
    CHECK(std::get<answer_run>(
              played.registry.handle_unreachable_owner({.id = other}, start)[0])
              .outcome == run_outcome::unknown);
}

// Guards against running an id that this instance never issued.
TEST_CASE("ids that were never issued are recognized")
{
    script played;
    CHECK(played.registry.was_issued(played.id));
    played.play("expired timer");
    CHECK(played.registry.was_issued(played.id));
    auto never_issued = played.id;
    never_issued.sequence = 2;
    CHECK_FALSE(played.registry.was_issued(never_issued));
    const auto actions = played.registry.submit(
        {.id = never_issued, .deadline = played.now + 1s}, played.now);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<answer_run>(actions[0]).outcome == run_outcome::unknown);
}

// Guards against unbounded memory use and against waiters that get no answer.
TEST_CASE("records are bounded and expire")
{
    script played;
    CHECK(played.registry.issue(start));
    CHECK(played.registry.issue(start).error().kind == error_kind::overloaded);
    CHECK(played.play("submit send expired timer") == "d1 send+ unknown");
    CHECK(played.registry.waiting() == 0);
    CHECK(played.registry.issue(start + 15min).value().sequence == 3);
}
