#include "query_api.hpp"

#include "clock.hpp"
#include "query_session.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

double ratio(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

// A query that used more than three quarters of the time to its deadline counts
// as overloaded, so that an overload is detected before queries miss their
// deadlines. The latency baseline can't show an overload that has lasted since
// the process started.
admission_outcome outcome_of(time_point received, time_point deadline,
                             time_point ended, const query_answer& answer)
{
    if (ended - received > (deadline - received) / 4 * 3)
        return admission_outcome::overloaded;
    return answer.is_complete ? admission_outcome::served
                              : admission_outcome::other;
}

bool is_below_floor(const class_spec& caller_class, const query_answer& answer)
{
    if (answer.is_complete)
        return false;
    if (caller_class.partial == partial_policy::refused)
        return true;
    const auto shards = answer.covered.size() + answer.lacked.size();
    return answer.covered.size() * 100 <
           shards * caller_class.coverage_floor_percent;
}

}

admission_gate& query_api::gate_of(const std::string& service)
{
    const auto worker = worker_pool::current();
    auto& gate = this->gates[worker][service];
    if (gate == nullptr)
        gate =
            std::make_unique<admission_gate>(this->config.workers->at(worker));
    return *gate;
}

unsigned http_status(error_kind kind)
{
    struct entry
    {
        error_kind kind;
        unsigned status;
    };
    constexpr std::array statuses{
        entry{error_kind::malformed_request, 400},
        entry{error_kind::body_too_large, 413},
        entry{error_kind::deadline_passed, 408},
        entry{error_kind::unknown_service, 404},
        entry{error_kind::unknown_class, 404},
        entry{error_kind::not_idempotent, 400},
        entry{error_kind::invalid_run_id, 400},
        entry{error_kind::run_id_required, 400},
        entry{error_kind::internal, 500},
    };
    constexpr unsigned unavailable = 503;
    const auto* found =
        std::find_if(statuses.begin(), statuses.end(),
                     [&](const entry& each) { return each.kind == kind; });
    return found == statuses.end() ? unavailable : found->status;
}

http_reply error_reply(metrics& measures, const error& failure)
{
    measures.count_error(to_string(failure.kind));
    http_reply reply;
    reply.status = http_status(failure.kind);
    reply.body = encode_error(failure);
    return reply;
}

query_api::query_api(options opts)
    : config(std::move(opts))
    , gates(this->config.workers->size())
{
}

asio::awaitable<http_reply> query_api::handle(http_request request)
{
    auto resolved = this->resolve(request);
    if (!resolved)
        co_return error_reply(*this->config.measures, resolved.error());
    auto& gate = this->gate_of(resolved.value().request.service);
    const auto decision = co_await gate.enter(
        resolved.value().caller_class->priority, resolved.value().deadline);
    if (!decision.is_admitted)
        co_return error_reply(
            *this->config.measures,
            error{error_kind::overloaded,
                  "service \"" + resolved.value().request.service +
                      "\" has no capacity for this query before its deadline; "
                      "the query was not run, send it again later"});
    const auto started = clock_now();
    const auto answer =
        co_await this->run(resolved.value(), request.is_peer_gone);
    const auto ended = clock_now();
    const auto outcome =
        outcome_of(request.received, resolved.value().deadline, ended, answer);
    gate.leave(decision.id, outcome, ended - started);
    // The caller has closed its connection, and an abandoned query has no
    // coverage to record.
    if (request.is_peer_gone != nullptr && *request.is_peer_gone)
        co_return http_reply{.is_withheld = true};
    co_return this->reply_to(resolved.value(), request.received, answer);
}

result<query_api::resolved_query>
query_api::resolve(const http_request& request)
{
    if (this->config.pauses->was_recently_paused(clock_now()))
        return error{error_kind::instance_paused,
                     "this instance was paused and is refreshing its "
                     "configuration; send the query again"};
    resolved_query resolved;
    BOOST_OUTCOME_TRY(resolved.request, decode_query_request(request.body));
    auto& context = (*this->config.contexts)[worker_pool::current()];
    BOOST_OUTCOME_TRY(resolved.view, require_view(context.view));
    BOOST_OUTCOME_TRY(
        resolved.service,
        require_service(*resolved.view, resolved.request.service));
    resolved.caller_class =
        resolved.view->configuration->find_class(resolved.request.caller_class);
    if (resolved.caller_class == nullptr ||
        resolved.caller_class->service != resolved.request.service)
        return error{error_kind::unknown_class,
                     "service \"" + resolved.request.service +
                         "\" has no class \"" + resolved.request.caller_class +
                         "\"; use one of its [class] sections"};
    if (resolved.caller_class->request_idempotency ==
        idempotency::non_idempotent)
        return error{error_kind::not_idempotent,
                     "class \"" + resolved.request.caller_class +
                         "\" is non-idempotent; send it with POST /v1/run"};
    resolved.shared_state =
        resolved.view->services.find(resolved.request.service)->second.get();
    resolved.deadline = deadline_of(*resolved.caller_class, request.received,
                                    resolved.request.deadline);
    if (resolved.request.request_id.empty())
        resolved.request.request_id = std::to_string(context.random());
    return resolved;
}

asio::awaitable<query_answer>
query_api::run(const resolved_query& resolved,
               std::shared_ptr<bool> is_caller_gone)
{
    const auto worker = worker_pool::current();
    query_session::options session;
    session.worker = &this->config.workers->at(worker);
    session.upstreams = this->config.upstreams;
    session.measures = this->config.measures;
    session.query_text = resolved.request.query;
    session.is_caller_gone = std::move(is_caller_gone);
    session.query.request_id = resolved.request.request_id;
    session.query.configuration = resolved.view->configuration;
    session.query.upstreams = resolved.view->upstreams;
    session.query.service = resolved.service;
    session.query.caller_class = resolved.caller_class;
    session.query.shared_state = resolved.shared_state;
    session.query.random = &(*this->config.contexts)[worker].random;
    session.query.failure_domain = this->config.failure_domain;
    session.query.deadline = resolved.deadline;
    const auto running = std::make_shared<query_session>(std::move(session));
    co_return co_await running->run();
}

http_reply query_api::reply_to(const resolved_query& resolved,
                               time_point received, const query_answer& answer)
{
    const auto coverage = ratio(answer.covered.size(),
                                answer.covered.size() + answer.lacked.size());
    const auto latency = clock_now() - received;
    this->config.measures->observe_query(resolved.request.caller_class, latency,
                                         coverage,
                                         ratio(answer.sent, answer.needed));
    if (!answer.is_complete)
        log_event(log_level::warning, "query_incomplete",
                  {{"request_id", answer.request_id},
                   {"service", resolved.request.service},
                   {"class", resolved.request.caller_class},
                   {"index_version", std::to_string(answer.version.value)},
                   {"covered", std::to_string(answer.covered.size())},
                   {"lacked", std::to_string(answer.lacked.size())}});
    http_reply reply;
    if (!is_below_floor(*resolved.caller_class, answer))
    {
        reply.body = encode_query_answer(answer);
        return reply;
    }
    this->config.measures->count_error(
        to_string(error_kind::coverage_below_floor));
    reply.status = http_status(error_kind::coverage_below_floor);
    reply.body = encode_low_coverage_error(
        answer, "the answer lacks shards that class \"" +
                    resolved.request.caller_class +
                    "\" requires; send the query again or use a class that "
                    "accepts partial answers");
    return reply;
}

}
