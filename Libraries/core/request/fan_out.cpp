#include "core/request/fan_out.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Absorbs the rounding of floating-point numbers: 0.07 times 100 legs is
// 7.000000000000001, and 7 answered legs have to be enough.
constexpr double coverage_tolerance = 1e-9;

}

std::string_view to_string(attempt_outcome outcome)
{
    switch (outcome)
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

fan_out::fan_out(options opts)
    : config(std::move(opts))
{
    for (auto& service : this->config.services)
        this->legs.push_back({.service = std::move(service)});
}

std::vector<fan_out::action> fan_out::start(time_point now)
{
    this->hedges_released_at =
        now + this->config.hedge_delay * max_withheld_delays;
    for (std::size_t index = 0; index < this->legs.size(); ++index)
    {
        this->config.budgets->earn(this->legs[index].service, now);
        if (!this->try_send(index, std::nullopt, now))
            this->legs[index].is_given_up = true;
    }
    this->end_if_decided(now);
    return this->take_actions(now);
}

std::vector<fan_out::action>
fan_out::handle_end(attempt_id attempt, attempt_outcome outcome, time_point now)
{
    if (this->has_ended)
        return {};
    const auto index = this->attempts.at(attempt.value - 1).leg;
    auto& current_leg = this->legs[index];
    if (std::erase(current_leg.running, attempt) == 0)
        return {};
    if (outcome == attempt_outcome::answered)
    {
        this->may_have_run = true;
        if (!current_leg.answer)
            current_leg.answer = attempt;
        for (const auto other : current_leg.running)
            this->actions.emplace_back(release{other});
        current_leg.running.clear();
        // This answer may be the one for which hedges were withheld.
        this->send_hedges(now);
    }
    else
        this->retry_or_give_up(index, attempt, outcome, now);
    this->end_if_decided(now);
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
    this->end_if_decided(now);
    return this->take_actions(now);
}

std::vector<fan_out::action> fan_out::expire(time_point now)
{
    if (this->has_ended)
        return {};
    this->config.deadline = std::min(this->config.deadline, now);
    this->config.answer_by = std::min(this->config.answer_by, now);
    this->end_if_decided(now);
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

unsigned fan_out::withheld_sends() const
{
    return this->withheld_count;
}

std::optional<time_point> fan_out::next_allowed_send() const
{
    return this->allowed_at;
}

bool fan_out::is_evacuated(const upstream_spec& upstream) const
{
    return wisteriahatch::is_evacuated(upstream, this->make_choice_context());
}

choice_context fan_out::make_choice_context() const
{
    return {.failure_domain = this->config.failure_domain,
            .evacuated = this->config.evacuated,
            .other_domain_penalty = this->config.other_domain_penalty};
}

bool fan_out::is_open(const leg& each) const
{
    return !each.answer && !each.is_given_up;
}

bool fan_out::may_use(const leg& current_leg, const std::string& id,
                      bool is_new_wanted) const
{
    const auto found =
        std::ranges::find(current_leg.tried, id, &tried_upstream::id);
    if (found == current_leg.tried.end())
        return is_new_wanted;
    return !is_new_wanted && found->is_used &&
           std::ranges::find(current_leg.running, found->last_attempt) ==
               current_leg.running.end();
}

registered_upstream_ptr fan_out::choose(const leg& current_leg, time_point now)
{
    const auto used = static_cast<std::size_t>(
        std::ranges::count_if(current_leg.tried, [](const tried_upstream& each)
                              { return each.is_used; }));
    const auto& group = this->config.upstreams->group(current_leg.service);
    // Prefers upstreams not yet used for this leg. After them come the
    // upstreams whose last attempt of this leg has ended; using one again does
    // not count towards max_attempts.
    for (const bool is_new_wanted : {true, false})
    {
        if (is_new_wanted && used >= this->config.max_attempts)
            continue;
        upstream_group candidates;
        std::ranges::copy_if(group, std::back_inserter(candidates),
                             [&](const registered_upstream_ptr& each) {
                                 return this->may_use(
                                     current_leg, each->spec.id, is_new_wanted);
                             });
        if (auto best = this->choose_allowed(std::move(candidates), now))
            return best;
    }
    for (const auto& each : group)
    {
        const auto end = each->state->signals().paused_until(now);
        if (end && !this->is_evacuated(each->spec))
            this->allowed_at = std::min(*end, this->allowed_at.value_or(*end));
    }
    return nullptr;
}

registered_upstream_ptr fan_out::choose_allowed(upstream_group candidates,
                                                time_point now)
{
    const auto context = this->make_choice_context();
    while (auto best =
               choose_upstream(candidates, context, now, *this->config.random))
    {
        if (this->config.rate_limits->admit(*best, now))
            return best;
        ++this->withheld_count;
        const auto next =
            this->config.rate_limits->next_send(best->spec.id, now);
        if (next)
            this->allowed_at =
                std::min(*next, this->allowed_at.value_or(*next));
        std::erase(candidates, best);
    }
    return nullptr;
}

repeat_purpose fan_out::retry_purpose() const
{
    // The failed leg still counts as open.
    const auto possible = this->answered_legs() + this->open_legs() - 1;
    return this->is_covered(possible) ? repeat_purpose::improvement
                                      : repeat_purpose::success;
}

std::size_t fan_out::answered_legs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->legs, [](const leg& each) { return each.answer.has_value(); }));
}

bool fan_out::try_send(std::size_t index, std::optional<repeat_purpose> purpose,
                       time_point now)
{
    auto& current_leg = this->legs[index];
    if (current_leg.sends >=
            this->config.max_attempts * max_sends_per_upstream ||
        now >= this->config.deadline)
        return false;
    const auto upstream = this->choose(current_leg, now);
    if (!upstream)
        return false;
    if (purpose && !this->config.budgets->spend(current_leg.service, *purpose,
                                                now, this->config.kept_repeats))
    {
        ++this->denied_count;
        return false;
    }
    this->config.rate_limits->record_send(
        *upstream, purpose ? send_kind::repeat : send_kind::first, now);
    this->attempts.push_back({.leg = index});
    const attempt_id attempt{this->attempts.size()};
    const auto earlier = std::ranges::find(current_leg.tried, upstream->spec.id,
                                           &tried_upstream::id);
    const bool is_upstream_repeated = earlier != current_leg.tried.end();
    if (is_upstream_repeated)
        earlier->last_attempt = attempt;
    else
        current_leg.tried.push_back(
            {.id = upstream->spec.id, .last_attempt = attempt});
    current_leg.running.push_back(attempt);
    ++current_leg.sends;
    current_leg.hedge_at = now + this->config.hedge_delay;
    if (purpose)
        ++this->repeat_count;
    this->actions.emplace_back(
        send{.attempt = attempt,
             .leg = index,
             .upstream = upstream,
             .is_repeat = purpose.has_value(),
             .is_upstream_repeated = is_upstream_repeated});
    return true;
}

void fan_out::retry_or_give_up(std::size_t index, attempt_id attempt,
                               attempt_outcome outcome, time_point now)
{
    auto& current_leg = this->legs[index];
    current_leg.last_failure = outcome;
    bool is_free = false;
    bool may_repeat = true;
    if (outcome == attempt_outcome::unsent)
    {
        // The attempt reached no upstream and doesn't count as a send. The
        // budget is charged only if another attempt of the leg was sent.
        --current_leg.sends;
        std::ranges::find(current_leg.tried, attempt,
                          &tried_upstream::last_attempt)
            ->is_used = false;
        is_free = current_leg.sends == 0;
        may_repeat = ++current_leg.unsent < max_unsent_attempts;
    }
    else if (outcome == attempt_outcome::failed)
    {
        this->may_have_run = true;
        may_repeat = this->config.retries == retry_policy::idempotent;
    }
    std::optional<repeat_purpose> purpose;
    // A leg with another attempt under way has not failed yet.
    if (!is_free)
        purpose = current_leg.running.empty() ? this->retry_purpose()
                                              : repeat_purpose::improvement;
    if (may_repeat && this->try_send(index, purpose, now))
        return;
    if (current_leg.running.empty())
        current_leg.is_given_up = true;
}

void fan_out::send_hedges(time_point now)
{
    if (this->config.retries != retry_policy::idempotent ||
        this->are_hedges_withheld(now))
        return;
    for (std::size_t index = 0; index < this->legs.size(); ++index)
    {
        auto& current_leg = this->legs[index];
        if (!this->is_open(current_leg) || current_leg.hedge_at > now)
            continue;
        current_leg.hedge_at = time_point::max();
        this->try_send(index, repeat_purpose::improvement, now);
    }
}

bool fan_out::are_hedges_withheld(time_point now) const
{
    const auto leg_count = static_cast<double>(this->legs.size());
    const auto max_stragglers =
        std::max(min_stragglers,
                 static_cast<std::size_t>(leg_count * max_straggler_ratio));
    const bool is_limited = now < this->hedges_released_at;
    return is_limited && this->open_legs() > max_stragglers;
}

std::size_t fan_out::open_legs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->legs, [this](const leg& each) { return this->is_open(each); }));
}

void fan_out::end_if_decided(time_point now)
{
    const auto answered = this->answered_legs();
    const auto open = this->open_legs();
    if (this->is_covered(answered) &&
        (open == 0 || now >= this->config.answer_by))
        this->end(fan_out_result::answered);
    else if (!this->is_covered(answered + open))
        this->end(this->may_run() ? fan_out_result::failed
                                  : fan_out_result::not_run);
    else if (now >= this->config.deadline)
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
               this->config.min_coverage *
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
        auto next = this->config.deadline;
        if (this->config.answer_by > now)
            next = std::min(next, this->config.answer_by);
        const bool may_hedge = this->config.retries == retry_policy::idempotent;
        const auto earliest_hedge = this->are_hedges_withheld(now)
                                        ? this->hedges_released_at
                                        : time_point::min();
        for (const auto& each : this->legs)
            if (may_hedge && this->is_open(each) &&
                each.sends < this->config.max_attempts)
                next = std::min(next, std::max(each.hedge_at, earliest_hedge));
        this->actions.emplace_back(start_timer{next});
    }
    return std::exchange(this->actions, {});
}

}
