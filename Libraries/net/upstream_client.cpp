#include "net/upstream_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>
#include <vector>

namespace wisteriahatch
{

namespace
{

constexpr unsigned status_ok_first = 200;
constexpr unsigned status_ok_last = 299;
constexpr unsigned status_version_unavailable = 409;

time_point now()
{
    return std::chrono::steady_clock::now();
}

bool is_work(const upstream_call& call)
{
    return !call.request->body.empty() || !call.request->method.empty();
}

// Classifies an exchange for the adaptive limit.
call_outcome classify_outcome(const upstream_exchange& exchange,
                              const upstream_dialect& dialect)
{
    if (!exchange.outcome)
        return exchange.outcome.error().kind == error_kind::upstream_timeout
                   ? call_outcome::timeout
                   : call_outcome::failure;
    const auto status = exchange.outcome.value().status;
    if (dialect.is_refusal(exchange.outcome.value()))
        return call_outcome::shed;
    return status >= status_ok_first && status <= status_ok_last
               ? call_outcome::success
               : call_outcome::failure;
}

}

upstream_client::upstream_client(asio::io_context& worker_context,
                                 std::string upstream,
                                 upstream_address initial_address,
                                 upstream_pool::options pool_options,
                                 std::shared_ptr<reply_memory> reply_limit,
                                 finish_handler handler)
    : worker(worker_context)
    , name(std::move(upstream))
    , address(std::move(initial_address))
    , values(std::move(pool_options))
    , memory(std::move(reply_limit))
    , on_finish(std::move(handler))
    , queue({.connection_share = this->address.connection_share,
             .min_limit = this->address.min_concurrency})
    , timer(worker_context)
{
}

const tcp::endpoint& upstream_client::endpoint() const
{
    return this->address.endpoint;
}

void upstream_client::update(const upstream_address& changed)
{
    this->address = changed;
    this->limit_idle(std::max(1U, changed.connection_share));
    this->apply(
        this->queue.set_connection_share(changed.connection_share, now()));
    this->handle_timer();
}

void upstream_client::submit(std::shared_ptr<upstream_task> task)
{
    const auto id = task->id;
    const auto priority = task->call.priority;
    const auto deadline = task->call.deadline;
    this->tasks.emplace(id, std::move(task));
    this->apply(this->queue.submit(id, priority, deadline, now()));
}

void upstream_client::cancel(call_id id)
{
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end())
        return;
    const auto task = found->second;
    this->tasks.erase(found);
    task->is_cancelled = true;
    task->state->record_cancel();
    if (task->connection)
    {
        if (task->connection->is_silent(now(), cancel_silence_threshold))
            this->idle.close_before(task->connection->number());
        task->connection->close();
        --this->busy_connections;
    }
    this->apply(this->queue.cancel(id, now()));
}

void upstream_client::close_idle()
{
    this->idle.close_all();
}

void upstream_client::retire()
{
    this->is_retired = true;
    this->close_idle();
    this->end_waiting(error_kind::connect_failed,
                      this->name + " left the instance list");
}

void upstream_client::end_waiting(error_kind kind, const std::string& message)
{
    std::vector<task_ptr> waiting;
    for (const auto& [id, task] : this->tasks)
        if (!task->connection)
            waiting.push_back(task);
    for (const auto& task : waiting)
        this->end_unsent(task, kind, message);
}

void upstream_client::apply(const upstream_queue::actions& actions)
{
    for (const auto id : actions.dropped)
    {
        const auto task = this->tasks.at(id);
        this->tasks.erase(id);
        task->state->record_cancel();
        upstream_failure late;
        late.kind = error_kind::deadline_passed;
        late.message = "no connection to " + this->name +
                       " became free before the deadline";
        this->on_finish(id, std::move(late));
    }
    for (const auto id : actions.start)
        this->pending_starts.push_back(this->tasks.at(id));
    // Starting a call may end it at once, which yields further actions. The
    // loop of the outermost call processes them, which avoids recursion.
    if (std::exchange(this->is_starting, true))
        return;
    while (!this->pending_starts.empty())
    {
        const auto task = std::move(this->pending_starts.front());
        this->pending_starts.pop_front();
        if (!task->is_cancelled && this->tasks.contains(task->id))
            this->start(task);
    }
    this->is_starting = false;
    this->set_timer();
}

void upstream_client::start(const task_ptr& task)
{
    if (this->is_unavailable_for(task->call))
    {
        this->end_unsent(task, error_kind::upstream_shed,
                         this->name + " is leaving; ask another replica");
        return;
    }
    task->connection = this->take_connection(task->call.use);
    ++this->busy_connections;
    asio::co_spawn(
        this->worker,
        [self = this->shared_from_this(), task]() { return self->run(task); },
        asio::detached);
}

asio::awaitable<void> upstream_client::run(task_ptr task)
{
    const auto started = now();
    const auto connection = task->connection;
    if (task->is_cancelled)
        co_return;
    if (!connection->is_open())
    {
        const auto expiry = std::min(started + this->values.connect_timeout,
                                     task->call.deadline);
        const auto failure = co_await connection->connect(expiry);
        if (task->is_cancelled)
        {
            // The connection may have been opened after cancel() closed it.
            connection->close();
            co_return;
        }
        if (failure)
        {
            this->end_unconnected(task, failure, started);
            co_return;
        }
    }
    if (!this->prepare_send(task))
        co_return;
    const auto& first_byte_timeout = task->call.first_byte_timeout;
    const auto first_byte_deadline =
        now() + (first_byte_timeout > duration::zero()
                     ? first_byte_timeout
                     : duration(this->values.attempt_timeout));
    auto exchange = co_await connection->exchange(
        task->call, first_byte_deadline, *this->values.dialect,
        this->values.max_reply_bytes, *this->memory);
    if (!task->is_cancelled)
        this->end_sent(task, std::move(exchange), started);
}

bool upstream_client::prepare_send(const task_ptr& task)
{
    std::optional<upstream_failure> refusal;
    const auto refuse = [&refusal](error_kind kind, std::string message) {
        refusal = upstream_failure{kind, std::move(message), false};
    };
    if (this->is_unavailable_for(task->call))
        refuse(error_kind::upstream_shed,
               this->name + " is leaving; ask another replica");
    else if (now() >= task->call.deadline)
        refuse(error_kind::deadline_passed,
               "the deadline passed before the request was sent");
    else if (task->call.before_send && !task->call.before_send())
        refuse(error_kind::deadline_passed,
               "the request was withdrawn before it was sent");
    if (!refusal)
        return true;
    this->return_connection(task->connection);
    this->end_unsent(task, refusal->kind, std::move(refusal->message));
    return false;
}

upstream_client::connection_ptr
upstream_client::take_connection(connection_use use)
{
    auto oldest_activity = time_point::min();
    if (use == connection_use::new_or_recently_active)
        oldest_activity = now() - fresh_connection_window;
    else if (use == connection_use::new_only)
        oldest_activity = time_point::max();
    if (auto connection = this->idle.take(oldest_activity))
        return connection;
    this->limit_idle(std::max(1U, this->address.connection_share) - 1);
    return std::make_shared<upstream_connection>(
        this->worker, this->address.endpoint, ++this->opened_connections);
}

void upstream_client::return_connection(const connection_ptr& connection)
{
    --this->busy_connections;
    const auto share = std::max(1U, this->address.connection_share);
    const bool should_keep = !this->is_retired && !this->address.is_leaving &&
                             !this->address.state->is_draining() &&
                             this->busy_connections + this->idle.size() < share;
    if (!should_keep || !connection->is_open())
    {
        connection->close();
        return;
    }
    this->idle.put(connection);
}

duration upstream_client::idle_timeout() const
{
    return this->address.idle_timeout > duration::zero()
               ? duration(this->address.idle_timeout)
               : duration(this->values.idle_timeout);
}

void upstream_client::limit_idle(std::size_t max_connections)
{
    this->idle.limit(max_connections > this->busy_connections
                         ? max_connections - this->busy_connections
                         : 0);
}

void upstream_client::end_unsent(const task_ptr& task, error_kind kind,
                                 std::string message)
{
    this->tasks.erase(task->id);
    task->state->record_cancel();
    if (kind == error_kind::upstream_shed && this->values.handle_withheld_send)
        this->values.handle_withheld_send();
    this->on_finish(task->id,
                    upstream_failure{kind, std::move(message), false});
    this->apply(this->queue.cancel(task->id, now()));
}

void upstream_client::end_unconnected(const task_ptr& task,
                                      const error_code& failure,
                                      time_point started)
{
    const auto time = now();
    --this->busy_connections;
    task->connection->close();
    this->tasks.erase(task->id);
    task->state->record_failure(this->values.failure_penalty, time);
    upstream_failure ended;
    ended.kind = error_kind::connect_failed;
    ended.message = "connecting to " + this->name +
                    " failed: " + failure.message() +
                    "; check that it runs and its address in the instance list";
    this->on_finish(task->id, std::move(ended));
    this->apply(this->queue.finish(task->id, call_outcome::failure,
                                   time - started, time));
}

void upstream_client::end_sent(const task_ptr& task, upstream_exchange exchange,
                               time_point started)
{
    const auto time = now();
    const auto outcome = classify_outcome(exchange, *this->values.dialect);
    this->tasks.erase(task->id);
    this->record(*task, exchange, time);
    this->apply_report(exchange.report);
    // Connections that were opened earlier use the same network path and may
    // be silent, too; each would lose a request.
    if (exchange.was_silent)
        this->idle.close_before(task->connection->number());
    this->return_connection(task->connection);
    this->on_finish(task->id, std::move(exchange.outcome));
    this->apply(this->queue.finish(task->id, outcome, time - started, time));
}

void upstream_client::record(const upstream_task& task,
                             const upstream_exchange& exchange,
                             time_point time) const
{
    const auto outcome = classify_outcome(exchange, *this->values.dialect);
    const bool is_success = outcome == call_outcome::success;
    // A status probe is answered without doing work, so its latency would
    // make a slow replica look fast.
    const bool is_answered_probe = is_success && !is_work(task.call);
    const bool is_refused_version =
        exchange.outcome &&
        exchange.outcome.value().status == status_version_unavailable;
    if (exchange.outcome &&
        this->values.dialect->is_misdirected(exchange.outcome.value()))
        task.state->record_misdirection(time);
    if (is_answered_probe || is_refused_version)
        task.state->record_cancel();
    else if (is_success)
        task.state->record_success(exchange.outcome.value().latency, time);
    else
        task.state->record_failure(this->values.failure_penalty, time);
}

void upstream_client::apply_report(const upstream_report& report)
{
    auto& state = *this->address.state;
    this->apply_signals(report);
    if (report.load)
        state.set_reported_load(*report.load);
    if (report.versions)
        state.set_versions(*report.versions);
    if (!report.is_draining)
        return;
    if (*report.is_draining)
    {
        state.set_draining(true);
        this->close_idle();
    }
    else if (this->is_draining_by_reply && !this->address.is_leaving)
        state.set_draining(false);
    this->is_draining_by_reply = *report.is_draining;
}

void upstream_client::apply_signals(const upstream_report& report)
{
    auto& signals = this->address.state->signals();
    const bool has_left = report.is_leaving && signals.record_leaving(now());
    const bool is_paused =
        report.pause &&
        signals.record_pause(
            *report.pause, now(),
            std::uniform_real_distribution<double>()(this->random));
    if ((has_left || is_paused) && this->values.handle_signals)
        this->values.handle_signals(
            this->name, report, {.has_left = has_left, .is_paused = is_paused});
    if (is_paused)
        this->end_waiting(error_kind::upstream_shed,
                          this->name + " wants a pause; ask another replica");
}

bool upstream_client::is_unavailable_for(const upstream_call& call) const
{
    return this->is_retired ||
           !this->address.state->signals().may_send(now()) ||
           (is_work(call) &&
            (this->address.is_leaving || this->address.state->is_draining()));
}

void upstream_client::set_timer()
{
    auto expiry = this->queue.next_deadline().value_or(time_point::max());
    if (!this->idle.is_empty())
        expiry = std::min(expiry, now() + idle_check_interval);
    // A timer that fires early is cheaper than setting it again at each call.
    if (expiry >= this->timer_expiry)
        return;
    this->timer_expiry = expiry;
    this->timer.expires_at(expiry);
    this->timer.async_wait(
        [self = this->weak_from_this()](const error_code& failure)
        {
            const auto client = self.lock();
            if (!client || failure)
                return;
            client->timer_expiry = time_point::max();
            client->handle_timer();
        });
}

void upstream_client::handle_timer()
{
    const bool is_leaving =
        this->address.is_leaving || this->address.state->is_draining();
    if (is_leaving)
        this->idle.close_all();
    this->idle.close_unusable(now() - this->idle_timeout());
    this->apply(this->queue.expire(now()));
}

}
