#include "core/request/fan_out.hpp"

#include "core/connection/upstream_choice.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Shares of shards are written with two decimals, so that 8 of 9 shards do
// not fail a floor of 0.89 by rounding alone.
constexpr double coverage_tolerance = 1e-9;

}

std::string_view to_string(attempt_outcome end)
{
    switch (end)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::unsent:
        return "unsent";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::failed:
        return "failed";
    }
    return "";
}

std::string_view to_string(fan_out_result result)
{
    switch (result)
    {
    case fan_out_result::answered:
        return "answered";
    case fan_out_result::not_run:
        return "not_run";
    case fan_out_result::failed:
        return "failed";
    case fan_out_result::timed_out:
        return "timed_out";
    }
    return "";
}

fan_out::fan_out(options values)
    : chosen(std::move(values))
{
    for (auto& service : this->chosen.services)
        this->legs.push_back({.service = std::move(service)});
}

std::vector<fan_out::action> fan_out::start(time_point now)
{
    for (std::size_t index = 0; index < this->legs.size(); ++index)
    {
        this->chosen.budgets->earn(this->legs[index].service);
        if (!this->try_send(index, payment::free, now))
            this->legs[index].is_given_up = true;
    }
    this->conclude(now);
    return this->take_actions(now);
}

std::vector<fan_out::action>
fan_out::handle_end(attempt_id attempt, attempt_outcome end, time_point now)
{
    if (this->has_ended)
        return {};
    const auto index = this->attempts.at(attempt.value - 1).leg;
    auto& owner = this->legs[index];
    if (std::erase(owner.running, attempt) == 0)
        return {};
    if (end == attempt_outcome::answered)
    {
        this->may_have_run = true;
        if (!owner.answer)
            owner.answer = attempt;
        for (const auto other : owner.running)
            this->actions.emplace_back(release{other});
        owner.running.clear();
    }
    else
        this->retry_or_give_up(index, attempt, end, now);
    this->conclude(now);
    return this->take_actions(now);
}

void fan_out::handle_sent(attempt_id attempt)
{
    this->attempts.at(attempt.value - 1).is_sent = true;
}

std::vector<fan_out::action> fan_out::handle_timer(time_point now)
{
    if (this->has_ended)
        return {};
    this->send_hedges(now);
    this->conclude(now);
    return this->take_actions(now);
}

std::vector<fan_out::action> fan_out::abandon()
{
    this->has_ended = true;
    for (auto& each : this->legs)
        for (const auto attempt : std::exchange(each.running, {}))
            this->actions.emplace_back(release{attempt});
    return std::exchange(this->actions, {});
}

unsigned fan_out::repeats() const
{
    return this->repeat_count;
}

unsigned fan_out::denied_repeats() const
{
    return this->denied_count;
}

bool fan_out::is_open(const leg& each) const
{
    return !each.answer && !each.is_given_up;
}

bool fan_out::may_use(const leg& owner, const std::string& id,
                      bool is_new_wanted) const
{
    const auto found = std::ranges::find(owner.tried, id, &tried_upstream::id);
    if (found == owner.tried.end())
        return is_new_wanted;
    return !is_new_wanted && found->is_used &&
           std::ranges::find(owner.running, found->last_attempt) ==
               owner.running.end();
}

registered_upstream_ptr fan_out::choose(const leg& owner, time_point now) const
{
    const auto used = static_cast<std::size_t>(std::ranges::count_if(
        owner.tried, [](const tried_upstream& each) { return each.is_used; }));
    const auto& group = this->chosen.upstreams->group(owner.service);
    // New upstreams first; then those that have ended an attempt of this leg,
    // which do not count against the limit of upstreams again.
    for (const bool is_new_wanted : {true, false})
    {
        if (is_new_wanted && used >= this->chosen.max_attempts)
            continue;
        upstream_group candidates;
        std::ranges::copy_if(
            group, std::back_inserter(candidates),
            [&](const registered_upstream_ptr& each)
            { return this->may_use(owner, each->spec.id, is_new_wanted); });
        if (auto best = choose_upstream(candidates, this->chosen.failure_domain,
                                        now, *this->chosen.random))
            return best;
    }
    return nullptr;
}

bool fan_out::try_send(std::size_t index, payment paid, time_point now)
{
    auto& owner = this->legs[index];
    if (owner.sends >= this->chosen.max_attempts * max_sends_per_upstream ||
        now >= this->chosen.deadline)
        return false;
    const auto upstream = this->choose(owner, now);
    if (!upstream)
        return false;
    if (paid == payment::from_budget &&
        !this->chosen.budgets->spend(owner.service))
    {
        ++this->denied_count;
        return false;
    }
    this->attempts.push_back({.leg = index});
    const attempt_id attempt{this->attempts.size()};
    const auto known =
        std::ranges::find(owner.tried, upstream->spec.id, &tried_upstream::id);
    if (known != owner.tried.end())
        known->last_attempt = attempt;
    else
        owner.tried.push_back(
            {.id = upstream->spec.id, .last_attempt = attempt});
    owner.running.push_back(attempt);
    ++owner.sends;
    owner.hedge_at = now + this->chosen.hedge_delay;
    if (paid == payment::from_budget)
        ++this->repeat_count;
    this->actions.emplace_back(send{.attempt = attempt,
                                    .leg = index,
                                    .upstream = upstream,
                                    .is_repeat = paid == payment::from_budget});
    return true;
}

void fan_out::retry_or_give_up(std::size_t index, attempt_id attempt,
                               attempt_outcome end, time_point now)
{
    auto& owner = this->legs[index];
    owner.last_failure = end;
    auto paid = payment::from_budget;
    bool may_repeat = true;
    if (end == attempt_outcome::unsent)
    {
        // Nothing arrived at an upstream, so that another send is the first.
        --owner.sends;
        std::ranges::find(owner.tried, attempt, &tried_upstream::last_attempt)
            ->is_used = false;
        paid = owner.sends == 0 ? payment::free : payment::from_budget;
        may_repeat = ++owner.unsent < max_unsent_attempts;
    }
    else if (end == attempt_outcome::failed)
    {
        this->may_have_run = true;
        may_repeat = this->chosen.retries == retry_rule::idempotent;
    }
    if (may_repeat && this->try_send(index, paid, now))
        return;
    if (owner.running.empty())
        owner.is_given_up = true;
}

void fan_out::send_hedges(time_point now)
{
    if (this->chosen.retries != retry_rule::idempotent)
        return;
    for (std::size_t index = 0; index < this->legs.size(); ++index)
    {
        auto& owner = this->legs[index];
        if (!this->is_open(owner) || owner.hedge_at > now)
            continue;
        owner.hedge_at = time_point::max();
        this->try_send(index, payment::from_budget, now);
    }
}

void fan_out::conclude(time_point now)
{
    const auto answered = static_cast<std::size_t>(std::ranges::count_if(
        this->legs, [](const leg& each) { return each.answer.has_value(); }));
    const auto open = static_cast<std::size_t>(std::ranges::count_if(
        this->legs, [this](const leg& each) { return this->is_open(each); }));
    if (this->is_covered(answered) &&
        (open == 0 || now >= this->chosen.answer_by))
        this->end(fan_out_result::answered);
    else if (!this->is_covered(answered + open))
        this->end(this->may_run() ? fan_out_result::failed
                                  : fan_out_result::not_run);
    else if (now >= this->chosen.deadline)
        this->end(this->may_run() ? fan_out_result::timed_out
                                  : fan_out_result::not_run);
}

bool fan_out::may_run() const
{
    const auto is_sent = [this](attempt_id attempt)
    { return this->attempts[attempt.value - 1].is_sent; };
    return this->may_have_run ||
           std::ranges::any_of(
               this->legs, [&is_sent](const leg& each)
               { return std::ranges::any_of(each.running, is_sent); });
}

bool fan_out::is_covered(std::size_t legs_answered) const
{
    return legs_answered > 0 &&
           static_cast<double>(legs_answered) + coverage_tolerance >=
               this->chosen.min_coverage *
                   static_cast<double>(this->legs.size());
}

void fan_out::end(fan_out_result result)
{
    this->has_ended = true;
    finish last{.result = result};
    for (auto& each : this->legs)
    {
        last.legs.push_back({.service = std::move(each.service),
                             .answer = each.answer,
                             .sends = each.sends,
                             .last_failure = each.last_failure,
                             .running = each.running.size()});
        for (const auto attempt : std::exchange(each.running, {}))
            this->actions.emplace_back(release{attempt});
    }
    this->actions.emplace_back(std::move(last));
}

std::vector<fan_out::action> fan_out::take_actions(time_point now)
{
    if (!this->has_ended)
    {
        auto next = this->chosen.deadline;
        if (this->chosen.answer_by > now)
            next = std::min(next, this->chosen.answer_by);
        const bool may_hedge = this->chosen.retries == retry_rule::idempotent;
        for (const auto& each : this->legs)
            if (may_hedge && this->is_open(each) &&
                each.sends < this->chosen.max_attempts)
                next = std::min(next, each.hedge_at);
        this->actions.emplace_back(wake{next});
    }
    return std::exchange(this->actions, {});
}

}
