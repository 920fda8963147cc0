#include "core/request/query.hpp"

#include "core/process/service_state.hpp"
#include "core/request/query_plan.hpp"
#include "core/request/row_merger.hpp"
#include "core/version/index_selector.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace wisteriahatch
{

namespace
{

// A sub-request that has neither ended nor been cancelled.
struct running_attempt
{
    // Index in the shard map.
    std::size_t shard = 0;
    std::string wire_request_id;
    upstream_state* replica = nullptr;
    time_point started;
    // When to hedge; time_point::max() for never.
    time_point hedge_at;
    bool was_hedged = false;
};

// Why a sub-request is sent.
enum class attempt_reason : std::uint8_t
{
    first,
    hedge,
    retry,
};

// Minimum time between two attempts to hedge the same sub-request.
constexpr std::chrono::milliseconds min_hedge_interval{1};

time_point add_delay(time_point now, duration delay)
{
    return delay < time_point::max() - now ? now + delay : time_point::max();
}

}

class query::implementation
{
public:
    explicit implementation(query_options opts)
        : options(std::move(opts))
        , plan(this->options, nullptr)
    {
    }

    void start(time_point now)
    {
        this->started = now;
        this->hedge_delay = this->options.shared_state->hedge_delay(now);
        this->first_byte_timeout = this->choose_first_byte_timeout(now);
        // Callers choose request ids and may reuse them. The random part
        // prevents a reply to another query from matching.
        this->wire_prefix = this->options.request_id + '-' +
                            std::to_string((*this->options.random)()) + '-';
        this->start_plan(
            select_index(*this->options.service, *this->options.upstreams, now)
                .index,
            now);
    }

    void handle_reply(attempt_id id, search_reply reply, time_point now)
    {
        const auto entry = this->running.find(id);
        if (entry == this->running.end() || this->is_late(now))
            return;
        const auto& attempt = entry->second;
        const std::size_t shard = attempt.shard;
        if ((reply.request_id != attempt.wire_request_id ||
             reply.shard != this->plan.shards()[shard].spec->name) &&
            !this->has_fault(injected_fault::skip_request_id_check))
        {
            this->handle_failure(id, error_kind::wrong_request_id, now);
            return;
        }
        if (reply.version != this->plan.index()->version &&
            !this->has_fault(injected_fault::skip_version_check))
        {
            this->handle_failure(id, error_kind::wrong_version, now);
            return;
        }

        this->options.shared_state->latencies().record(now - attempt.started,
                                                       now);
        this->forget(id);
        this->cancel_running(shard, now);
        if (this->has_fault(injected_fault::merge_reply_twice))
        {
            const auto copy = reply.rows;
            reply.rows.insert(reply.rows.end(), copy.begin(), copy.end());
        }
        this->rows.add(shard, std::move(reply.rows));
    }

    void handle_failure(attempt_id id, error_kind kind, time_point now)
    {
        const auto entry = this->running.find(id);
        if (entry == this->running.end() || this->is_late(now))
            return;
        const std::size_t shard = entry->second.shard;
        this->forget(id);
        auto& progress = this->plan.shards()[shard];
        if (kind == error_kind::wrong_version)
            progress.is_version_refused = true;
        if (kind == error_kind::upstream_timeout)
            this->has_timed_out_attempt = true;
        // Another attempt for the shard is still running, and is hedged if it
        // is slow.
        if (!progress.running.empty())
            return;
        if (!this->send_for_shard(shard, attempt_reason::retry, now))
            this->give_up(shard, now);
    }

    void handle_timer(time_point now)
    {
        this->timer.reset();
        if (this->is_late(now))
            return;
        std::vector<attempt_id> due;
        for (const auto& [id, attempt] : this->running)
        {
            if (attempt.hedge_at <= now)
                due.push_back(id);
        }
        for (const auto id : due)
            this->hedge(id, now);
    }

    void abandon(time_point now)
    {
        this->is_finished = true;
        this->cancel_all(now);
    }

    // Ends the query if no attempt is running or the deadline has passed, and
    // sets the timer otherwise. Returns the actions that result from the event;
    // there are none once the query has ended.
    std::vector<query_action> take_actions(time_point now)
    {
        if (!this->is_finished)
        {
            if (this->running.empty() || this->is_late(now))
                this->finish(now);
            else
                this->update_timer();
        }
        return std::exchange(this->actions, {});
    }

private:
    bool has_fault(injected_fault fault) const
    {
        return this->options.fault == fault;
    }

    bool is_late(time_point now) const
    {
        return now >= this->options.deadline &&
               !this->has_fault(injected_fault::ignore_deadline);
    }

    // A third of the remaining time leaves enough for two more replicas. Twice
    // the hedge delay avoids treating a slow upstream as unresponsive: with
    // exponentially distributed latencies 1 in 400 attempts takes longer than
    // twice the 95th percentile.
    duration choose_first_byte_timeout(time_point now) const
    {
        const duration third = (this->options.deadline - now) / 3;
        const bool has_delay = this->hedge_delay < duration::max() / 2;
        return has_delay ? std::max(third, 2 * this->hedge_delay) : third;
    }

    // Discards all rows and sends an attempt for each shard of `index`.
    void start_plan(const index_spec* index, time_point now)
    {
        ++this->plans;
        this->plan = query_plan(this->options, index);
        if (!this->has_fault(injected_fault::keep_rows_on_new_plan))
            this->rows.clear();
        this->rows.set_shard_count(this->plan.shards().size());
        if (this->is_late(now))
            return;
        // The first attempts of a second plan are extra load and are charged
        // to the budget as retries.
        const auto reason =
            this->plans == 1 ? attempt_reason::first : attempt_reason::retry;
        for (std::size_t shard = 0; shard < this->plan.shards().size(); ++shard)
        {
            if (!this->send_for_shard(shard, reason, now))
                this->plan.shards()[shard].is_lacked = true;
        }
    }

    // Sends an attempt for the shard to an untried replica. Returns false if
    // there is none or if the budget does not allow the hedge.
    bool send_for_shard(std::size_t shard, attempt_reason reason,
                        time_point now)
    {
        auto& progress = this->plan.shards()[shard];
        upstream_state* replica = this->plan.choose_replica(
            progress,
            reason == attempt_reason::hedge ? ejected_replicas::excluded
                                            : ejected_replicas::as_last_resort,
            now);
        if (replica == nullptr || !this->charge_budget(reason))
            return false;

        const attempt_id id{++this->sent};
        running_attempt attempt{.shard = shard,
                                .wire_request_id = this->wire_prefix +
                                                   std::to_string(id.value),
                                .replica = replica,
                                .started = now,
                                .hedge_at = add_delay(now, this->hedge_delay)};
        progress.tried.push_back(replica);
        progress.running.push_back(id);
        this->actions.emplace_back(
            send_attempt{.attempt = id,
                         .wire_request_id = attempt.wire_request_id,
                         .shard = progress.spec->name,
                         .replica = replica->name(),
                         .version = this->plan.index()->version,
                         .deadline = this->options.deadline,
                         .first_byte_timeout = this->first_byte_timeout,
                         .needs_new_connection = this->has_timed_out_attempt});
        this->running.emplace(id, std::move(attempt));
        return true;
    }

    // Credits the budget for a first attempt and charges it for a hedge or a
    // retry. Returns whether the attempt may be sent. Only a hedge can be
    // denied.
    bool charge_budget(attempt_reason reason)
    {
        auto& budget = this->options.shared_state->budget();
        if (reason == attempt_reason::first)
        {
            budget.earn(this->options.caller_class->hedge_budget_percent);
            return true;
        }
        return budget.spend() || reason == attempt_reason::retry ||
               this->has_fault(injected_fault::ignore_hedge_budget);
    }

    void hedge(attempt_id id, time_point now)
    {
        auto& attempt = this->running.at(id);
        const std::size_t shard = attempt.shard;
        // At most one hedge per shard runs at a time. If the budget denies it,
        // the next try is when the attempt has run for twice as long, by which
        // time the budget may have recovered.
        attempt.hedge_at = add_delay(
            now, std::max<duration>(now - attempt.started, min_hedge_interval));
        if (this->plan.shards()[shard].running.size() == 1 &&
            this->send_for_shard(shard, attempt_reason::hedge, now))
            attempt.was_hedged = true;
    }

    // Gives up a shard for which no replica is left. Starts a second plan with
    // another index version if a replica of the shard does not hold the current
    // one, at least half of the time remains, and the other version can cover
    // more. There is never a third plan.
    void give_up(std::size_t shard, time_point now)
    {
        auto& progress = this->plan.shards()[shard];
        progress.is_lacked = true;
        const bool may_plan =
            this->plans == 1 ||
            this->has_fault(injected_fault::plan_without_limit);
        const duration left = this->options.deadline - now;
        if (!may_plan || !this->plan.has_lost_version(progress) ||
            2 * left < this->options.deadline - this->started)
            return;
        const index_spec* better = this->plan.find_better_index(now);
        if (better == nullptr)
            return;
        this->cancel_all(now);
        this->start_plan(better, now);
    }

    void forget(attempt_id id)
    {
        const auto entry = this->running.find(id);
        std::erase(this->plan.shards()[entry->second.shard].running, id);
        this->running.erase(entry);
    }

    // Cancels the running attempts for the shard.
    void cancel_running(std::size_t shard, time_point now)
    {
        const auto ids = this->plan.shards()[shard].running;
        for (const auto id : ids)
        {
            const auto& attempt = this->running.at(id);
            const duration elapsed = now - attempt.started;
            attempt.replica->record_unanswered(elapsed, now);
            // Without these samples the quantile would miss the slowest
            // attempts, and the hedge delay would fall with each hedge.
            if (attempt.was_hedged)
                this->options.shared_state->latencies().record(elapsed, now);
            this->actions.emplace_back(cancel_attempt{.attempt = id});
            this->forget(id);
        }
    }

    void cancel_all(time_point now)
    {
        for (std::size_t shard = 0; shard < this->plan.shards().size(); ++shard)
            this->cancel_running(shard, now);
    }

    void update_timer()
    {
        time_point next = this->options.deadline;
        for (const auto& [id, attempt] : this->running)
            next = std::min(next, attempt.hedge_at);
        if (this->timer == next)
            return;
        this->timer = next;
        this->actions.emplace_back(set_timer{.at = next});
    }

    void finish(time_point now)
    {
        this->is_finished = true;
        this->cancel_all(now);
        const auto& shards = this->plan.shards();
        query_answer answer{.request_id = this->options.request_id,
                            .sent = this->sent,
                            .needed = static_cast<unsigned>(shards.size())};
        if (this->plan.index() != nullptr)
            answer.version = this->plan.index()->version;
        for (std::size_t shard = 0; shard < shards.size(); ++shard)
        {
            const bool is_covered =
                this->rows.contains(shard) ||
                this->has_fault(injected_fault::count_lacked_as_covered);
            auto& list = is_covered ? answer.covered : answer.lacked;
            list.push_back(shards[shard].spec->name);
        }
        answer.is_complete =
            this->plan.index() != nullptr && answer.lacked.empty();
        answer.rows = this->rows.take();
        this->actions.emplace_back(finish_query{.answer = std::move(answer)});
    }

    query_options options;
    std::string wire_prefix;
    time_point started;
    duration hedge_delay{};
    duration first_byte_timeout{};
    // Set once an attempt has failed with upstream_timeout.
    bool has_timed_out_attempt = false;
    unsigned plans = 0;
    unsigned sent = 0;
    query_plan plan;
    std::map<attempt_id, running_attempt> running;
    row_merger rows;
    std::optional<time_point> timer;
    bool is_finished = false;
    std::vector<query_action> actions;
};

query::query(query_options options)
    : state(std::make_unique<implementation>(std::move(options)))
{
}

query::~query() = default;

std::vector<query_action> query::start(time_point now)
{
    this->state->start(now);
    return this->state->take_actions(now);
}

std::vector<query_action>
query::handle_reply(attempt_id attempt, search_reply reply, time_point now)
{
    this->state->handle_reply(attempt, std::move(reply), now);
    return this->state->take_actions(now);
}

std::vector<query_action> query::handle_failure(attempt_id attempt,
                                                error_kind kind, time_point now)
{
    this->state->handle_failure(attempt, kind, now);
    return this->state->take_actions(now);
}

std::vector<query_action> query::handle_timer(time_point now)
{
    this->state->handle_timer(now);
    return this->state->take_actions(now);
}

std::vector<query_action> query::abandon(time_point now)
{
    this->state->abandon(now);
    return this->state->take_actions(now);
}

}
