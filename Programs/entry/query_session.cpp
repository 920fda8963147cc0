#include "query_session.hpp"

#include "clock.hpp"
#include "core/request/wire.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr unsigned status_ok = 200;
// Latency that a reply with the wrong content counts as. The pool sees only a
// fast reply with status 200, which must not make the replica look fast.
constexpr std::chrono::seconds wrong_content_penalty{2};
constexpr unsigned status_version_unavailable = 409;
constexpr unsigned status_shed = 503;

error_kind failure_of_status(unsigned status)
{
    if (status == status_version_unavailable)
        return error_kind::wrong_version;
    if (status == status_shed)
        return error_kind::upstream_shed;
    return error_kind::internal;
}

}

query_session::query_session(options opts)
    : config(std::move(opts))
    , service_name(this->config.query.service->name)
    , replicas(this->config.query.upstreams)
    , current_query(std::move(this->config.query))
    , timer(*this->config.worker)
    , finished(*this->config.worker, time_point::max())
{
}

asio::awaitable<query_answer> query_session::run()
{
    this->apply(this->current_query.start(clock_now()));
    while (!this->has_answer)
    {
        boost::system::error_code ignored;
        co_await this->finished.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(this->answer);
}

void query_session::apply(std::vector<query_action> actions)
{
    for (auto& action : actions)
        std::visit([this](auto& each) { this->act(each); }, action);
}

void query_session::act(send_attempt& action)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline -
                                                              clock_now());
    upstream_request request;
    request.target = "/search";
    request.body = encode_search_request(action, this->service_name,
                                         this->config.query_text, remaining);
    upstream_call call;
    call.replica = action.replica;
    call.request = std::make_shared<upstream_request>(std::move(request));
    call.deadline = action.deadline;
    call.first_byte_timeout = action.first_byte_timeout;
    if (action.needs_new_connection)
        call.use = connection_use::new_only;
    const auto attempt = action.attempt;
    const auto id = this->config.upstreams->start(
        std::move(call),
        [self = this->shared_from_this(), attempt](upstream_result outcome)
        { self->finish_attempt(attempt, std::move(outcome)); });
    this->calls.emplace(attempt, running_call{id, std::move(action)});
}

void query_session::act(const cancel_attempt& action)
{
    const auto found = this->calls.find(action.attempt);
    if (found == this->calls.end())
        return;
    this->config.upstreams->cancel(found->second.id);
    this->calls.erase(found);
}

void query_session::act(const set_timer& action)
{
    this->timer.expires_at(action.at);
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code failure)
        {
            if (failure || self->has_answer)
                return;
            const bool is_gone = self->config.is_caller_gone != nullptr &&
                                 *self->config.is_caller_gone;
            self->apply(is_gone
                            ? self->current_query.abandon(clock_now())
                            : self->current_query.handle_timer(clock_now()));
            if (!is_gone)
                return;
            // The caller is gone; ending the query here frees its resources.
            self->has_answer = true;
            self->finished.cancel();
        });
}

void query_session::act(finish_query& action)
{
    this->answer = std::move(action.answer);
    this->has_answer = true;
    this->timer.cancel();
    this->finished.cancel();
}

void query_session::finish_attempt(attempt_id attempt, upstream_result outcome)
{
    const auto ended = this->calls.extract(attempt);
    if (this->has_answer || ended.empty())
        return;
    const auto& sent = ended.mapped().sent;
    if (!outcome)
    {
        this->fail_attempt(attempt, outcome.error().kind);
        return;
    }
    if (outcome.value().status != status_ok)
    {
        this->fail_attempt(attempt, failure_of_status(outcome.value().status));
        return;
    }
    auto reply = decode_search_reply(outcome.value().body);
    if (!reply)
    {
        this->penalise(sent.replica);
        this->fail_attempt(attempt, reply.error().kind);
        return;
    }
    if (reply.value().request_id != sent.wire_request_id ||
        reply.value().shard != sent.shard)
        this->report_wrong_content(sent.replica, error_kind::wrong_request_id);
    else if (reply.value().version != sent.version)
        this->report_wrong_content(sent.replica, error_kind::wrong_version);
    this->apply(this->current_query.handle_reply(
        attempt, std::move(reply.value()), clock_now()));
}

void query_session::report_wrong_content(const std::string& replica,
                                         error_kind kind)
{
    this->penalise(replica);
    this->config.measures->count_upstream_failure(this->service_name,
                                                  to_string(kind));
}

void query_session::penalise(const std::string& replica)
{
    const auto found = this->replicas->find(replica);
    if (found != this->replicas->end())
        found->second->record_unanswered(wrong_content_penalty, clock_now());
}

void query_session::fail_attempt(attempt_id attempt, error_kind kind)
{
    this->config.measures->count_upstream_failure(this->service_name,
                                                  to_string(kind));
    this->apply(this->current_query.handle_failure(attempt, kind, clock_now()));
}

}
