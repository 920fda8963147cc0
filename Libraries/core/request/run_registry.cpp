#include "core/request/run_registry.hpp"

#include <algorithm>
#include <utility>

namespace wisteriahatch
{

std::string_view to_string(run_outcome outcome)
{
    switch (outcome)
    {
    case run_outcome::done:
        return "done";
    case run_outcome::not_run:
        return "not_run";
    case run_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

run_registry::run_registry(options opts)
    : config(std::move(opts))
{
}

result<run_id> run_registry::issue(time_point now)
{
    // Expired records with waiters are removed by the timer, which answers the
    // waiters.
    while (!this->records.empty() &&
           this->records.begin()->second.expires <= now &&
           !this->active.contains(this->records.begin()->first))
        this->records.erase(this->records.begin());
    if (this->records.size() >= this->config.max_records)
        return error{error_kind::overloaded,
                     "this instance has issued " +
                         std::to_string(this->config.max_records) +
                         " run ids that have not expired, which is the "
                         "maximum; try another instance"};
    const bool is_early =
        this->config.fault == control_fault::expire_records_early;
    const duration lifetime =
        is_early ? duration(std::chrono::seconds(1)) : this->config.lifetime;
    const auto sequence = this->next_sequence++;
    this->records[sequence].expires = now + lifetime;
    return run_id{.instance = this->config.instance,
                  .owner = this->config.self,
                  .sequence = sequence};
}

bool run_registry::owns(const run_id& id) const
{
    if (id.instance != this->config.instance)
        return false;
    return id.owner == this->config.self ||
           this->config.fault == control_fault::ignore_incarnation;
}

bool run_registry::was_issued(const run_id& id) const
{
    return this->owns(id) && id.sequence > 0 &&
           id.sequence < this->next_sequence;
}

std::vector<run_action> run_registry::submit(const run_submission& submission,
                                             time_point now)
{
    std::vector<run_action> actions;
    const auto entry = this->find(submission.id, now);
    if (entry == this->records.end())
    {
        actions.emplace_back(
            answer_run{.waiter = submission.waiter, .id = submission.id});
        return actions;
    }
    auto& found = entry->second;
    found.waiters.push_back({submission.waiter, submission.deadline});
    this->active.insert(entry->first);
    switch (found.current)
    {
    case phase::issued:
        found.service = submission.service;
        found.caller_class = submission.caller_class;
        found.payload = submission.payload;
        found.deadline = submission.deadline;
        if (now >= submission.deadline)
            this->settle(entry, phase::not_run, actions);
        else
            this->dispatch(entry, actions);
        break;
    case phase::waiting:
    case phase::sent:
        break;
    case phase::done:
    case phase::not_run:
    case phase::unknown:
        this->answer_waiters(entry, actions);
        break;
    }
    return actions;
}

bool run_registry::confirm_send(const run_id& id, unsigned attempt,
                                time_point now)
{
    const auto entry = this->find(id, now);
    if (entry == this->records.end())
        return false;
    auto& found = entry->second;
    if (found.current != phase::waiting || found.attempt != attempt ||
        now >= found.deadline)
        return false;
    found.current = phase::sent;
    return true;
}

std::vector<run_action> run_registry::handle_reply(const run_id& id,
                                                   unsigned attempt,
                                                   std::string reply,
                                                   time_point now)
{
    std::vector<run_action> actions;
    const auto entry = this->find(id, now);
    if (entry == this->records.end())
        return actions;
    auto& found = entry->second;
    // A result proves that the request ran, even if it belongs to an earlier
    // attempt that was reported as not started.
    const bool was_sent =
        attempt > 0 &&
        (attempt < found.attempt ||
         (attempt == found.attempt && found.current != phase::waiting));
    if (!was_sent || found.current == phase::done ||
        found.current == phase::not_run)
        return actions;
    found.reply = std::move(reply);
    this->settle(entry, phase::done, actions);
    return actions;
}

std::vector<run_action> run_registry::handle_failure(const run_id& id,
                                                     unsigned attempt,
                                                     run_failure failure,
                                                     time_point now)
{
    std::vector<run_action> actions;
    const auto entry = this->find(id, now);
    if (entry == this->records.end() || entry->second.attempt != attempt)
        return actions;
    auto& found = entry->second;
    if (found.current == phase::waiting && failure == run_failure::never_sent)
    {
        const bool may_retry =
            attempt < this->config.max_attempts && now < found.deadline;
        if (may_retry)
            this->dispatch(entry, actions);
        else
            this->settle(entry, phase::not_run, actions);
        return actions;
    }
    if (found.current == phase::waiting &&
        failure == run_failure::lost_after_send)
    {
        // The request was sent without confirm_send, so it may have run.
        this->settle(entry, phase::unknown, actions);
        return actions;
    }
    if (found.current != phase::sent && found.current != phase::unknown)
        return actions;
    if (failure != run_failure::refused_by_upstream)
    {
        const bool is_faulty =
            this->config.fault == control_fault::not_run_after_send;
        if (found.current == phase::sent)
            this->settle(entry, is_faulty ? phase::not_run : phase::unknown,
                         actions);
        return actions;
    }
    // A run that was already answered with unknown is not retried, because
    // nobody is waiting for it.
    const bool may_retry = found.current == phase::sent &&
                           attempt < this->config.max_attempts &&
                           now < found.deadline;
    if (may_retry)
        this->dispatch(entry, actions);
    else
        this->settle(entry, phase::not_run, actions);
    return actions;
}

std::vector<run_action> run_registry::handle_timer(time_point now)
{
    std::vector<run_action> actions;
    this->expire(now, actions);
    const std::vector<std::uint64_t> sequences(this->active.begin(),
                                               this->active.end());
    for (const auto sequence : sequences)
    {
        const auto entry = this->records.find(sequence);
        auto& found = entry->second;
        if (found.current == phase::waiting && now >= found.deadline)
        {
            this->settle(entry, phase::not_run, actions);
            continue;
        }
        std::erase_if(found.waiters,
                      [&](const waiter& waiting)
                      {
                          if (now < waiting.deadline)
                              return false;
                          actions.emplace_back(
                              answer_run{.waiter = waiting.token,
                                         .id = this->id_of(entry)});
                          return true;
                      });
        if (found.waiters.empty() && found.current != phase::waiting)
            this->active.erase(sequence);
    }
    return actions;
}

std::vector<run_action> run_registry::cancel_unsent(time_point now)
{
    std::vector<run_action> actions;
    this->expire(now, actions);
    if (this->config.fault == control_fault::skip_cancellation)
        return actions;
    const std::vector<std::uint64_t> sequences(this->active.begin(),
                                               this->active.end());
    for (const auto sequence : sequences)
    {
        const auto entry = this->records.find(sequence);
        if (entry->second.current == phase::waiting)
            this->settle(entry, phase::not_run, actions);
    }
    return actions;
}

std::vector<run_action>
run_registry::submit_without_dispatch(const run_submission& submission,
                                      time_point now)
{
    const auto entry = this->find(submission.id, now);
    if (entry == this->records.end())
        return this->submit(submission, now);
    auto& found = entry->second;
    const bool is_cancellable =
        found.current == phase::issued || found.current == phase::waiting;
    if (!is_cancellable ||
        this->config.fault == control_fault::skip_cancellation)
        return this->submit(submission, now);
    std::vector<run_action> actions;
    found.waiters.push_back({submission.waiter, submission.deadline});
    this->settle(entry, phase::not_run, actions);
    return actions;
}

std::vector<run_action>
run_registry::handle_unreachable_owner(const run_submission& submission,
                                       time_point now)
{
    std::vector<run_action> actions;
    if (this->config.fault != control_fault::run_without_ownership)
    {
        actions.emplace_back(
            answer_run{.waiter = submission.waiter, .id = submission.id});
        return actions;
    }
    auto issued = this->issue(now);
    if (!issued)
        return actions;
    auto local = submission;
    local.id = issued.value();
    return this->submit(local, now);
}

std::size_t run_registry::waiting() const
{
    std::size_t total = 0;
    for (const auto sequence : this->active)
        total += this->records.at(sequence).waiters.size();
    return total;
}

run_registry::iterator run_registry::find(const run_id& id, time_point now)
{
    if (!this->owns(id))
        return this->records.end();
    const auto entry = this->records.find(id.sequence);
    if (entry == this->records.end() || now >= entry->second.expires)
        return this->records.end();
    return entry;
}

run_id run_registry::id_of(iterator entry) const
{
    return {.instance = this->config.instance,
            .owner = this->config.self,
            .sequence = entry->first};
}

void run_registry::dispatch(iterator entry, std::vector<run_action>& actions)
{
    auto& found = entry->second;
    found.current = phase::waiting;
    ++found.attempt;
    this->active.insert(entry->first);
    actions.emplace_back(dispatch_run{.id = this->id_of(entry),
                                      .attempt = found.attempt,
                                      .service = found.service,
                                      .caller_class = found.caller_class,
                                      .payload = found.payload,
                                      .deadline = found.deadline});
}

void run_registry::settle(iterator entry, phase reached,
                          std::vector<run_action>& actions)
{
    auto& found = entry->second;
    found.current = reached;
    // No further attempt needs these values.
    found.service.clear();
    found.caller_class.clear();
    found.payload = std::string();
    this->answer_waiters(entry, actions);
}

void run_registry::answer_waiters(iterator entry,
                                  std::vector<run_action>& actions)
{
    auto& found = entry->second;
    auto outcome = run_outcome::unknown;
    if (found.current == phase::done)
        outcome = run_outcome::done;
    else if (found.current == phase::not_run)
        outcome = run_outcome::not_run;
    for (const auto& waiting : std::exchange(found.waiters, {}))
        actions.emplace_back(answer_run{.waiter = waiting.token,
                                        .id = this->id_of(entry),
                                        .outcome = outcome,
                                        .reply = found.reply});
    this->active.erase(entry->first);
}

void run_registry::expire(time_point now, std::vector<run_action>& actions)
{
    while (!this->records.empty() &&
           this->records.begin()->second.expires <= now)
    {
        const auto entry = this->records.begin();
        // Once the record is removed, an unsent request can't be sent any
        // more, so its waiters are answered with not_run.
        if (entry->second.current == phase::waiting)
            this->settle(entry, phase::not_run, actions);
        else
            this->answer_waiters(entry, actions);
        this->records.erase(entry);
    }
}

}
