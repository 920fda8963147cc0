#include "run_service.hpp"

#include "clock.hpp"
#include "owner_client.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <stdexcept>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t registry_worker = 0;
// Runs forwarded to other instances concurrently; each blocks its thread, and
// further ones wait for a free thread.
constexpr std::size_t forwarding_thread_count = 8;
constexpr std::chrono::milliseconds timer_period{20};
constexpr unsigned status_ok = 200;

// What the result of an upstream call proves about a run.
struct run_evidence
{
    bool has_reply = false;
    std::string reply;
    run_failure failure = run_failure::lost_after_send;
};

run_evidence evidence_of(const std::string& request_id,
                         const upstream_result& outcome)
{
    run_evidence evidence;
    if (!outcome)
    {
        if (!outcome.error().was_sent)
            evidence.failure = run_failure::never_sent;
        return evidence;
    }
    auto reply = decode_upstream_run_reply(outcome.value().body);
    if (!reply || reply.value().request_id != request_id)
        return evidence;
    if (!reply.value().started)
    {
        evidence.failure = run_failure::refused_by_upstream;
        return evidence;
    }
    evidence.has_reply = outcome.value().status == status_ok;
    evidence.reply = std::move(reply.value().result);
    return evidence;
}

}

run_service::run_service(options opts)
    : config(std::move(opts))
    , registry(this->config.registry)
    , timer(this->config.workers->at(registry_worker))
    , forwarders(forwarding_thread_count)
{
}

run_service::~run_service() = default;

void run_service::start()
{
    asio::post(this->config.workers->at(registry_worker),
               [this] { this->arm_timer(); });
}

void run_service::stop()
{
    this->forwarders.join();
}

asio::awaitable<result<std::string>> run_service::issue(std::string service)
{
    auto& context = (*this->config.contexts)[worker_pool::current()];
    const auto view = require_view(context.view);
    if (!view)
        co_return view.error();
    const auto found = require_service(*view.value(), service);
    if (!found)
        co_return found.error();
    const std::lock_guard lock(this->registry_mutex);
    auto issued = this->registry.issue(clock_now());
    if (!issued)
        co_return issued.error();
    co_return to_string(issued.value());
}

bool run_service::was_issued(const run_id& id)
{
    const std::lock_guard lock(this->registry_mutex);
    return this->registry.was_issued(id);
}

result<run_submission> run_service::make_submission(const run_request& request,
                                                    const run_id& id,
                                                    time_point received)
{
    auto& context = (*this->config.contexts)[worker_pool::current()];
    BOOST_OUTCOME_TRY(const auto view, require_view(context.view));
    BOOST_OUTCOME_TRY(require_service(*view, request.service));
    const auto* caller_class =
        view->configuration->find_class(request.caller_class);
    if (caller_class == nullptr || caller_class->service != request.service ||
        caller_class->request_idempotency != idempotency::non_idempotent)
        return error{error_kind::unknown_class,
                     "service \"" + request.service +
                         "\" has no non-idempotent class \"" +
                         request.caller_class +
                         "\"; use a [class] section with idempotent = no"};
    run_submission submission;
    submission.id = id;
    submission.service = request.service;
    submission.caller_class = request.caller_class;
    submission.payload = request.payload;
    submission.deadline =
        deadline_of(*caller_class, received, request.deadline);
    return submission;
}

asio::awaitable<result<run_answer>> run_service::run(run_request request,
                                                     time_point received)
{
    auto id = parse_run_id(request.run_id);
    if (!id)
        co_return id.error();
    if (this->registry.owns(id.value()) && !this->was_issued(id.value()))
        co_return error{error_kind::invalid_run_id,
                        "this instance never issued run id \"" +
                            request.run_id +
                            "\"; get one with POST /v1/run-ids"};
    auto submission = this->make_submission(request, id.value(), received);
    if (!submission)
        co_return submission.error();
    const auto deadline = submission.value().deadline;
    run_answer answer;
    if (this->registry.owns(id.value()))
    {
        auto on_owner = asio::co_spawn(
            this->config.workers->at(registry_worker),
            this->submit(std::move(submission.value())), asio::use_awaitable);
        answer = co_await std::move(on_owner);
    }
    else
    {
        auto forwarded = asio::co_spawn(
            this->forwarders.get_executor(),
            this->forward(std::move(request), id.value(), deadline),
            asio::use_awaitable);
        answer = co_await std::move(forwarded);
    }
    co_return answer;
}

std::string run_service::run_forwarded(const std::string& parameters)
{
    const auto received = clock_now();
    auto request = decode_run_request(parameters);
    if (!request)
        throw std::runtime_error(request.error().message);
    auto id = parse_run_id(request.value().run_id);
    if (!id)
        throw std::runtime_error(id.error().message);
    // Another incarnation may have run the request, so that its outcome is
    // unknown here.
    if (!this->registry.owns(id.value()))
        return encode_run_answer(request.value().run_id, run_answer{});
    auto running = asio::co_spawn(
        this->config.workers->at(registry_worker),
        [this, &request, &id, received]() -> asio::awaitable<run_answer>
        {
            auto submission =
                this->make_submission(request.value(), id.value(), received);
            if (!submission)
                throw std::runtime_error(submission.error().message);
            co_return co_await this->submit(std::move(submission.value()));
        },
        asio::use_future);
    return encode_run_answer(request.value().run_id, running.get());
}

asio::awaitable<run_answer> run_service::submit(run_submission submission)
{
    const auto now = clock_now();
    const auto started = now;
    submission.waiter = this->next_waiter++;
    const auto waiter_id = submission.waiter;
    auto waiting = std::make_shared<waiter>(
        waiter{asio::steady_timer(this->config.workers->at(registry_worker),
                                  time_point::max()),
               {},
               false});
    this->waiters.emplace(waiter_id, waiting);
    std::vector<run_action> actions;
    {
        const std::lock_guard lock(this->registry_mutex);
        // After a pause it is unknown how long the request waited in a socket
        // buffer, so an unsent one is cancelled instead of being run late.
        actions = this->config.pauses->was_recently_paused(now)
                      ? this->registry.submit_without_dispatch(submission, now)
                      : this->registry.submit(submission, now);
    }
    this->apply(actions);
    while (!waiting->has_answer)
    {
        boost::system::error_code ignored;
        co_await waiting->answered.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->config.measures->count_run(submission.caller_class,
                                     to_string(waiting->answer.outcome),
                                     clock_now() - started);
    co_return std::move(waiting->answer);
}

asio::awaitable<run_answer> run_service::forward(run_request request, run_id id,
                                                 time_point deadline)
{
    co_return forward_to_owner(request, id, deadline);
}

void run_service::apply(const std::vector<run_action>& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& each) { this->act(each); }, action);
}

upstream_state* run_service::choose_replica(const dispatch_run& action)
{
    auto& context = (*this->config.contexts)[registry_worker];
    const auto view = context.view.current();
    const auto* service = view->configuration->find_service(action.service);
    if (service == nullptr)
        return nullptr;
    const auto now = clock_now();
    const auto& already_tried = this->tried_replicas[action.id.sequence];
    std::vector<upstream_state*> usable;
    std::vector<upstream_state*> ejected;
    for (const auto& group : service->groups)
    {
        for (const auto& replica : group.replicas)
        {
            const auto found = view->upstreams->find(replica.name);
            if (found == view->upstreams->end() ||
                found->second->is_draining() ||
                already_tried.contains(replica.name))
                continue;
            auto& candidates =
                found->second->is_ejected(now) ? ejected : usable;
            candidates.push_back(found->second.get());
        }
    }
    const auto state = view->services.find(action.service);
    return state->second->selector().choose(usable.empty() ? ejected : usable,
                                            this->config.failure_domain, now,
                                            context.random);
}

upstream_call run_service::make_call(const dispatch_run& action,
                                     const std::string& replica)
{
    upstream_request request;
    request.target = "/run";
    request.body = encode_upstream_run_request(
        to_string(action.id), action, remaining_until(action.deadline));
    upstream_call call;
    call.replica = replica;
    call.request = std::make_shared<upstream_request>(std::move(request));
    call.deadline = action.deadline;
    call.use = connection_use::new_or_recently_active;
    call.before_send = [this, id = action.id, attempt = action.attempt]
    {
        const std::lock_guard lock(this->registry_mutex);
        return this->registry.confirm_send(id, attempt, clock_now());
    };
    return call;
}

void run_service::act(const dispatch_run& action)
{
    auto* replica = this->choose_replica(action);
    if (replica == nullptr)
    {
        upstream_failure no_replica;
        no_replica.kind = error_kind::connect_failed;
        no_replica.message = "no usable replica of " + action.service;
        this->finish(action.id, action.attempt, no_replica);
        return;
    }
    this->tried_replicas[action.id.sequence].insert(replica->name());
    this->config.upstreams->start(
        this->make_call(action, replica->name()),
        [this, id = action.id,
         attempt = action.attempt](const upstream_result& outcome)
        { this->finish(id, attempt, outcome); });
}

void run_service::finish(const run_id& id, unsigned attempt,
                         const upstream_result& outcome)
{
    auto evidence = evidence_of(to_string(id), outcome);
    std::vector<run_action> actions;
    {
        const std::lock_guard lock(this->registry_mutex);
        actions = evidence.has_reply
                      ? this->registry.handle_reply(
                            id, attempt, std::move(evidence.reply), clock_now())
                      : this->registry.handle_failure(
                            id, attempt, evidence.failure, clock_now());
    }
    this->apply(actions);
}

void run_service::act(const answer_run& action)
{
    this->tried_replicas.erase(action.id.sequence);
    const auto found = this->waiters.find(action.waiter);
    if (found == this->waiters.end())
        return;
    log_event(log_level::info, "run_answered",
              {{"run_id", to_string(action.id)},
               {"outcome", std::string(to_string(action.outcome))}});
    found->second->answer = {action.outcome, action.reply};
    found->second->has_answer = true;
    found->second->answered.cancel();
    this->waiters.erase(found);
}

void run_service::cancel_unsent()
{
    asio::post(this->config.workers->at(registry_worker),
               [this]
               {
                   std::vector<run_action> actions;
                   {
                       const std::lock_guard lock(this->registry_mutex);
                       actions = this->registry.cancel_unsent(clock_now());
                   }
                   this->apply(actions);
               });
}

void run_service::arm_timer()
{
    this->timer.expires_after(timer_period);
    this->timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (failure)
                return;
            std::vector<run_action> actions;
            {
                const std::lock_guard lock(this->registry_mutex);
                actions = this->registry.handle_timer(clock_now());
            }
            this->apply(actions);
            this->arm_timer();
        });
}

}
