#include "net/upstream_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

// Says how an exchange bears on the adaptive limit.
call_outcome outcome_of(const upstream_exchange& exchange,
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

upstream_client::upstream_client(asio::io_context& own_worker,
                                 std::string upstream,
                                 upstream_address upstream_place,
                                 upstream_pool::options chosen,
                                 finish_handler handler)
    : worker(own_worker)
    , name(std::move(upstream))
    , address(std::move(upstream_place))
    , values(std::move(chosen))
    , finished(std::move(handler))
    , queue({.connection_share = this->address.connection_share,
             .min_limit = this->address.min_concurrency})
    , timer(own_worker)
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
        if (task->connection->is_silent(now(), silence_limit))
            this->idle.close_before(task->connection->number());
        task->connection->close();
        --this->busy;
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
    std::vector<task_ptr> waiting;
    for (const auto& [id, task] : this->tasks)
        if (!task->connection)
            waiting.push_back(task);
    for (const auto& task : waiting)
        this->end_unsent(task, error_kind::connect_failed,
                         this->name + " left the instance list");
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
        this->finished(id, std::move(late));
    }
    for (const auto id : actions.start)
        this->to_start.push_back(this->tasks.at(id));
    // A call that ends while it is started yields further actions. They are
    // taken up by this loop instead of by recursion.
    if (std::exchange(this->is_starting, true))
        return;
    while (!this->to_start.empty())
    {
        const auto task = std::move(this->to_start.front());
        this->to_start.pop_front();
        if (!task->is_cancelled && this->tasks.contains(task->id))
            this->start(task);
    }
    this->is_starting = false;
    this->set_timer();
}

void upstream_client::start(const task_ptr& task)
{
    if (this->is_closed_to(task->call))
    {
        this->end_unsent(task, error_kind::upstream_shed,
                         this->name + " is leaving; ask another replica");
        return;
    }
    task->connection = this->take_connection(task->call.use);
    ++this->busy;
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
            // The connection may have opened after it was closed.
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
    const auto& patience = task->call.first_byte_timeout;
    const auto first_byte =
        now() + (patience > duration::zero()
                     ? patience
                     : duration(this->values.attempt_timeout));
    auto exchange = co_await connection->exchange(task->call, first_byte,
                                                  *this->values.dialect,
                                                  this->values.max_reply_bytes);
    if (!task->is_cancelled)
        this->end_sent(task, std::move(exchange), started);
}

bool upstream_client::prepare_send(const task_ptr& task)
{
    std::optional<upstream_failure> refusal;
    const auto refuse = [&refusal](error_kind kind, std::string message) {
        refusal = upstream_failure{kind, std::move(message), false};
    };
    if (this->is_closed_to(task->call))
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
    auto oldest_heard = time_point::min();
    if (use == connection_use::fresh)
        oldest_heard = now() - fresh_time;
    else if (use == connection_use::unused)
        oldest_heard = time_point::max();
    if (auto connection = this->idle.take(oldest_heard))
        return connection;
    this->limit_idle(std::max(1U, this->address.connection_share) - 1);
    return std::make_shared<upstream_connection>(
        this->worker, this->address.endpoint, ++this->opened);
}

void upstream_client::return_connection(const connection_ptr& connection)
{
    --this->busy;
    const auto share = std::max(1U, this->address.connection_share);
    const bool is_wanted = !this->is_retired && !this->address.is_leaving &&
                           !this->address.state->is_draining() &&
                           this->busy + this->idle.size() < share;
    if (!is_wanted || !connection->is_open())
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

void upstream_client::limit_idle(std::size_t most)
{
    this->idle.limit(most > this->busy ? most - this->busy : 0);
}

void upstream_client::end_unsent(const task_ptr& task, error_kind kind,
                                 std::string message)
{
    this->tasks.erase(task->id);
    task->state->record_cancel();
    this->finished(task->id, upstream_failure{kind, std::move(message), false});
    this->apply(this->queue.cancel(task->id, now()));
}

void upstream_client::end_unconnected(const task_ptr& task,
                                      const error_code& failure,
                                      time_point started)
{
    const auto time = now();
    --this->busy;
    task->connection->close();
    this->tasks.erase(task->id);
    task->state->record_failure(this->values.failure_penalty, time);
    upstream_failure ended;
    ended.kind = error_kind::connect_failed;
    ended.message = "connecting to " + this->name +
                    " failed: " + failure.message() +
                    "; check that it runs and its address in the instance list";
    this->finished(task->id, std::move(ended));
    this->apply(this->queue.finish(task->id, call_outcome::failure,
                                   time - started, time));
}

void upstream_client::end_sent(const task_ptr& task, upstream_exchange exchange,
                               time_point started)
{
    const auto time = now();
    const auto outcome = outcome_of(exchange, *this->values.dialect);
    this->tasks.erase(task->id);
    this->record(*task, exchange, time);
    this->store_report(exchange.report);
    // The connections that were opened earlier went over the same path, and
    // may be just as silent; a request over each would be lost.
    if (exchange.was_silent)
        this->idle.close_before(task->connection->number());
    this->return_connection(task->connection);
    this->finished(task->id, std::move(exchange.outcome));
    this->apply(this->queue.finish(task->id, outcome, time - started, time));
}

void upstream_client::record(const upstream_task& task,
                             const upstream_exchange& exchange,
                             time_point time) const
{
    const auto outcome = outcome_of(exchange, *this->values.dialect);
    const bool is_success = outcome == call_outcome::success;
    // A status probe is answered without work and would make a slow replica
    // look fast.
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

void upstream_client::store_report(const upstream_report& report)
{
    auto& state = *this->address.state;
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

bool upstream_client::is_closed_to(const upstream_call& call) const
{
    return this->is_retired ||
           (is_work(call) &&
            (this->address.is_leaving || this->address.state->is_draining()));
}

void upstream_client::set_timer()
{
    auto expiry = this->queue.next_deadline().value_or(time_point::max());
    if (!this->idle.is_empty())
        expiry = std::min(expiry, now() + idle_check_interval);
    // A timer that fires early costs less than one that is set at each call.
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
