#include "core/process/fleet.hpp"

#include <algorithm>
#include <array>
#include <ostream>

namespace wisteriahatch::test_support
{

using namespace std::chrono_literals;

std::ostream& operator<<(std::ostream& stream, const command& step)
{
    return stream << '{' << static_cast<int>(step.kind) << ',' << step.first
                  << ',' << step.second << ',' << step.wait_ms << '}';
}

void fleet::apply(const command& step)
{
    auto& target = this->nodes[step.first % slots];
    switch (step.kind)
    {
    case command_kind::submit:
        this->issue_run(step);
        break;
    case command_kind::resend:
        if (!this->runs.empty())
            this->send_submission(step.second % slots,
                                  std::next(this->runs.begin(),
                                            static_cast<std::ptrdiff_t>(
                                                step.first % this->runs.size()))
                                      ->first);
        break;
    case command_kind::kill:
        target = {};
        target.slot = step.first % slots;
        break;
    case command_kind::replace:
        this->start(step.first % slots);
        break;
    case command_kind::pause:
        if (target.is_up && !target.is_paused)
            target.paused_at = this->now;
        target.is_paused = target.is_up;
        break;
    case command_kind::wake:
        for (auto& instance : this->nodes)
            this->wake(instance);
        break;
    case command_kind::split:
        for (unsigned slot = 0; slot < slots; ++slot)
            this->partitions[slot] = (step.first >> slot) & 1U;
        break;
    case command_kind::heal:
        std::ranges::fill(this->partitions, 0U);
        break;
    case command_kind::list_lags:
    case command_kind::list_current:
        this->is_list_lagging = step.kind == command_kind::list_lags;
        break;
    case command_kind::service_stale:
        if (!this->is_service_stale)
            this->stale_text = this->service_text;
        this->is_service_stale = true;
        break;
    case command_kind::service_down:
    case command_kind::service_up:
        this->is_service_down = step.kind == command_kind::service_down;
        this->is_service_stale = false;
        break;
    case command_kind::publish_two_at_once:
        this->publish(++this->serial, "one");
        // Some instances read the first of the two, others only the second.
        this->advance(std::chrono::milliseconds(step.second % 1000));
        this->publish(this->serial, "two");
        break;
    case command_kind::publish:
        this->publish(++this->serial, "new");
        break;
    case command_kind::publish_old:
        this->publish(
            step.first % 8 == 0
                ? "faulty"
                : this->published[step.first % this->published.size()]);
        break;
    case command_kind::upstream:
        this->mode = static_cast<upstream_mode>(std::min(
            step.first % 16, static_cast<unsigned>(upstream_mode::mixed)));
        break;
    }
    this->advance(std::chrono::milliseconds(step.wait_ms));
}

void fleet::issue_run(const command& step)
{
    auto& owner = this->nodes[step.first % slots];
    if (!owner.is_up || owner.is_paused)
        return;
    this->check_for_pause(owner);
    const auto id = owner.runs->issue(this->now);
    if (!id)
        return;
    const auto label = "run" + std::to_string(this->next_number++);
    this->runs[label] = {
        .id = id.value(),
        .issued = this->now,
        .deadline = std::chrono::milliseconds(200 + step.second % 3000)};
    // Two thirds of the runs are submitted to their owner first.
    this->send_submission(
        step.second % 3 == 0 ? step.second % slots : step.first % slots, label);
}

void fleet::send_submission(unsigned slot, const std::string& label)
{
    const int copies = this->random_chance(5) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
        this->at(
            this->network_delay(), slot, 0,
            [this, label](node& target)
            {
                const auto owner = this->runs[label].id.owner;
                const bool is_owner = target.nonce == owner.value;
                this->submit(
                    target, label,
                    [this, label, is_owner](node&, const answer_run& answer)
                    { this->check_answer(label, answer, is_owner); });
            });
}

void fleet::submit(node& target, const std::string& label,
                   const answer_handler& reply)
{
    const auto& run = this->runs[label];
    if (!target.runs->owns(run.id))
    {
        this->forward(target, label, reply);
        return;
    }
    const auto token = this->next_number++;
    target.waiters[token] = reply;
    const run_submission submission{.id = run.id,
                                    .waiter = token,
                                    .service = "s",
                                    .caller_class = "c",
                                    .payload = label,
                                    .deadline = this->now + run.deadline};
    this->perform(target, target.pauses->was_recently_paused(this->now)
                              ? target.runs->submit_without_dispatch(submission,
                                                                     this->now)
                              : target.runs->submit(submission, this->now));
}

void fleet::forward(node& from, const std::string& label,
                    const answer_handler& reply)
{
    const auto call = this->next_number++;
    const auto slot = from.slot;
    const auto nonce = from.nonce;
    const auto id = this->runs[label].id;
    from.open_calls.insert(call);
    from.waiters[call] = reply;
    const auto give_up = [this, call, label, id](node& caller)
    {
        if (caller.open_calls.erase(call) == 0)
            return;
        this->perform(caller, caller.runs->handle_unreachable_owner(
                                  {.id = id,
                                   .waiter = call,
                                   .payload = label,
                                   .deadline = this->now + 1s},
                                  this->now));
    };
    this->at(1s, slot, nonce, give_up);
    this->send(slot, slot_of(id.instance), 0,
               [this, call, slot, nonce, label, id, give_up](node& owner)
               {
                   if (!owner.runs->owns(id))
                   {
                       this->send(owner.slot, slot, nonce, give_up);
                       return;
                   }
                   this->submit(
                       owner, label,
                       [this, call, slot, nonce](node& answering,
                                                 const answer_run& answer)
                       {
                           this->send(
                               answering.slot, slot, nonce,
                               [this, call, answer](node& caller)
                               {
                                   if (caller.open_calls.erase(call) == 0)
                                       return;
                                   auto forwarded = answer;
                                   forwarded.waiter = call;
                                   this->perform(
                                       caller,
                                       std::vector<run_action>{forwarded});
                               });
                       });
               });
}

void fleet::perform(node& from, const std::vector<run_action>& actions)
{
    for (const auto& action : actions)
    {
        if (const auto* answer = std::get_if<answer_run>(&action))
        {
            const auto found = from.waiters.find(answer->waiter);
            if (found == from.waiters.end())
                continue;
            const auto reply = std::move(found->second);
            from.waiters.erase(found);
            reply(from, *answer);
            continue;
        }
        const auto& dispatch = std::get<dispatch_run>(action);
        if (dispatch.attempt > 1)
            ++this->counts["retry"];
        // Time in the upstream's queue, sometimes beyond the deadline.
        const unsigned bound = this->random_chance(20) ? 3000 : 300;
        this->at(std::chrono::milliseconds(this->random_below(bound)),
                 from.slot, from.nonce,
                 [this, dispatch, queued = this->now](node& sender)
                 { this->try_send(sender, dispatch, queued); });
    }
}

upstream_mode fleet::next_upstream_mode()
{
    if (this->mode != upstream_mode::mixed)
        return this->mode;
    return static_cast<upstream_mode>(
        this->random_below(static_cast<unsigned>(upstream_mode::mixed)));
}

void fleet::try_send(node& from, const dispatch_run& action, time_point queued)
{
    if (this->next_upstream_mode() == upstream_mode::refuses_connections ||
        !from.runs->confirm_send(action.id, action.attempt, this->now))
    {
        this->perform(from, from.runs->handle_failure(action.id, action.attempt,
                                                      run_failure::never_sent,
                                                      this->now));
        return;
    }
    if (this->now >= action.deadline)
        this->report_violation("work was sent after its deadline");
    // A retry is new work and may start during the settling time.
    if (action.attempt == 1 &&
        queued < from.resumed_at + pause_detector::settling_time)
        this->report_violation("work from before a pause was sent");
    const auto slot = from.slot;
    const auto nonce = from.nonce;
    this->at(1s, slot, nonce,
             [this, action](node& sender)
             {
                 this->perform(sender,
                               sender.runs->handle_failure(
                                   action.id, action.attempt,
                                   run_failure::lost_after_send, this->now));
             });
    // On one TCP connection requests are lost or late, but never duplicated.
    if (this->random_chance(5))
        return;
    this->events.emplace(this->now + this->network_delay(),
                         [this, slot, nonce, action]
                         { this->reach_upstream(slot, nonce, action); });
}

void fleet::reach_upstream(unsigned slot, std::uint64_t nonce,
                           const dispatch_run& action)
{
    const auto request_mode = this->next_upstream_mode();
    const bool is_shed = request_mode == upstream_mode::sheds ||
                         request_mode == upstream_mode::sheds_twice;
    if (request_mode == upstream_mode::silent_unstarted)
        return;
    if (!is_shed)
        this->execute(action.payload);
    if (request_mode == upstream_mode::silent_started || this->random_chance(5))
        return;
    const bool is_twice = request_mode == upstream_mode::sheds_twice ||
                          request_mode == upstream_mode::answers_twice;
    for (int copy = 0; copy < (is_twice ? 2 : 1); ++copy)
    {
        auto delay = this->network_delay();
        if (request_mode == upstream_mode::answers_late || copy == 1)
            delay += std::chrono::milliseconds(this->random_below(6000));
        this->at(delay, slot, nonce,
                 [this, action, is_shed](node& sender)
                 {
                     this->perform(
                         sender,
                         is_shed
                             ? sender.runs->handle_failure(
                                   action.id, action.attempt,
                                   run_failure::refused_by_upstream, this->now)
                             : sender.runs->handle_reply(
                                   action.id, action.attempt,
                                   "result of " + action.payload, this->now));
                 });
    }
}

void fleet::execute(const std::string& label)
{
    auto& run = this->runs[label];
    ++this->counts["execution"];
    if (++run.executions > 1)
        this->report_violation("a run was executed twice");
    if (run.reported_outcome == run_outcome::not_run)
        this->report_violation("a run started after not_run was reported");
}

void fleet::check_answer(const std::string& label, const answer_run& answer,
                         bool is_from_owner)
{
    auto& run = this->runs[label];
    ++this->counts["reported " + std::string(to_string(answer.outcome)) +
                   (is_from_owner ? " by owner" : " by another")];
    const bool is_recorded = this->now < run.issued + 15min;
    if (answer.outcome == run_outcome::unknown)
    {
        if (is_from_owner && run.reported_outcome && is_recorded)
            this->report_violation("a final outcome was forgotten");
        return;
    }
    if (run.reported_outcome && *run.reported_outcome != answer.outcome)
        this->report_violation("a final outcome changed");
    run.reported_outcome = answer.outcome;
    if (answer.outcome == run_outcome::not_run && run.executions > 0)
        this->report_violation("not_run was reported for a started run");
    if (answer.outcome == run_outcome::done &&
        (run.executions == 0 || answer.reply != "result of " + label))
        this->report_violation("done was reported with another run's result");
}

}
