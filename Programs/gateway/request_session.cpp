#include "request_session.hpp"

#include "core/request/record_merge.hpp"
#include "request_log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr unsigned min_success_status = 200;
constexpr unsigned max_success_status = 299;
constexpr unsigned min_server_error_status = 500;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

bool is_success(const upstream_reply& reply)
{
    return reply.status >= min_success_status &&
           reply.status <= max_success_status;
}

}

request_session::request_session(options opts)
    : config(std::move(opts))
    , retries(this->config.plan.retries)
    , decisions(std::move(this->config.plan))
    , timer(*this->config.worker)
    , linger_timer(*this->config.worker)
    , finished(*this->config.worker, time_point::max())
{
    auto& received = this->config.request;
    upstream_request request;
    request.method = std::move(received.method);
    request.target = std::move(received.target);
    request.headers = end_to_end_headers(received.headers);
    request.request_id = this->config.request_id;
    request.body = std::move(received.body);
    // The pool sets these headers at each send.
    std::erase_if(
        request.headers,
        [this](const message_header& header)
        {
            return is_same_header(header.name,
                                  this->config.header_names->deadline) ||
                   is_same_header(header.name,
                                  this->config.header_names->target_upstream);
        });
    this->content = std::make_shared<upstream_request>(std::move(request));
}

asio::awaitable<std::optional<forwarded_request>> request_session::run()
{
    *this->config.request.on_peer_gone = [weak = this->weak_from_this()]
    {
        if (const auto self = weak.lock())
            self->handle_caller_disconnect();
    };
    if (*this->config.request.is_peer_gone)
        co_return std::nullopt;
    this->apply(this->decisions.start(clock_now()));
    while (!this->has_ended)
    {
        boost::system::error_code ignored;
        co_await this->finished.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    *this->config.request.on_peer_gone = nullptr;
    if (this->is_caller_disconnected)
        co_return std::nullopt;
    co_return std::move(this->outcome);
}

void request_session::expire()
{
    if (!this->has_ended)
        this->apply(this->decisions.expire(clock_now()));
}

void request_session::withdraw_evacuated()
{
    std::vector<attempt_id> unsent;
    for (const auto& [attempt, call] : this->calls)
        if (!call.is_sent && !call.is_released &&
            this->decisions.is_evacuated(call.upstream->spec))
            unsent.push_back(attempt);
    for (const auto attempt : unsent)
    {
        // The end of another attempt may have released this one.
        const auto found = this->calls.find(attempt);
        if (found == this->calls.end() || found->second.is_released)
            continue;
        this->config.upstreams->cancel(found->second.id);
        this->end_attempt(attempt,
                          upstream_failure{.kind = error_kind::upstream_shed,
                                           .message = "the failure domain is "
                                                      "evacuated",
                                           .was_sent = false});
    }
}

void request_session::apply(const std::vector<fan_out::action>& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& each) { this->perform(each); }, action);
}

void request_session::perform(const fan_out::send& action)
{
    const auto now = clock_now();
    upstream_call call;
    call.replica = action.upstream->spec.id;
    call.request = this->content;
    call.deadline = this->config.deadline;
    call.priority = this->config.priority;
    call.first_byte_timeout = this->config.deadline - now;
    call.use = this->choose_connection_use(action);
    ++this->outcome.sends;
    if (this->config.load != nullptr)
        this->config.load->record_send(action.upstream->spec.service,
                                       action.upstream->spec.id, now);
    const auto attempt = action.attempt;
    // A call that still waits for a connection when its answer is no longer
    // needed would only load the upstream.
    call.before_send = [weak = this->weak_from_this(), attempt]
    {
        const auto self = weak.lock();
        if (!self || !self->is_wanted(attempt))
            return false;
        self->decisions.handle_sent(attempt);
        self->calls.at(attempt).is_sent = true;
        return true;
    };
    this->calls.emplace(
        attempt,
        running_call{.id = {}, .upstream = action.upstream, .started = now});
    // The handler never runs before start() returns.
    this->calls.at(attempt).id = this->config.upstreams->start(
        std::move(call),
        [self = this->shared_from_this(), attempt](upstream_result result)
        { self->end_attempt(attempt, std::move(result)); });
}

connection_use
request_session::choose_connection_use(const fan_out::send& action) const
{
    // A second copy of the reply to the earlier attempt can't be told from the
    // reply to this one on the connection that carried both.
    if (action.is_upstream_repeated)
        return connection_use::new_only;
    // An at-most-once request can't be repeated after it was sent over a silent
    // connection, and a repeat should not be sent over another one.
    if (action.is_repeat || this->retries == retry_policy::at_most_once)
        return connection_use::new_or_recently_active;
    return connection_use::any;
}

void request_session::perform(const fan_out::release& action)
{
    const auto found = this->calls.find(action.attempt);
    if (found == this->calls.end())
        return;
    if (this->is_caller_disconnected)
    {
        this->config.upstreams->cancel(found->second.id);
        this->calls.erase(found);
        return;
    }
    found->second.is_released = true;
    this->linger_timer.expires_after(linger_time);
    this->linger_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code failure)
        {
            if (!failure)
                self->cancel_released();
        });
}

void request_session::perform(const fan_out::start_timer& action)
{
    this->timer.expires_at(action.at);
    this->timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self && !self->has_ended)
                self->apply(self->decisions.handle_timer(clock_now()));
        });
}

void request_session::perform(const fan_out::finish& action)
{
    this->outcome.result = action.result;
    this->outcome.repeats = this->decisions.repeats();
    this->outcome.denied_repeats = this->decisions.denied_repeats();
    this->outcome.withheld_sends = this->decisions.withheld_sends();
    this->outcome.next_allowed_send = this->decisions.next_allowed_send();
    this->outcome.legs = action.legs;
    for (const auto& leg : action.legs)
    {
        auto& answer = this->outcome.answers.emplace_back();
        if (leg.answer)
            answer = std::move(this->replies.at(*leg.answer));
    }
    this->has_ended = true;
    this->timer.cancel();
    this->finished.cancel();
}

void request_session::end_attempt(attempt_id attempt, upstream_result result)
{
    const auto ended = this->calls.extract(attempt);
    if (ended.empty())
        return;
    if (result)
    {
        this->record_rate_limit(ended.mapped().upstream->spec, result.value());
        this->record_warm_up(ended.mapped().upstream->spec, result.value());
    }
    this->record_load(ended.mapped(), result);
    if (ended.mapped().is_released || this->has_ended)
        return;
    // classify() moves the reply away when it keeps it.
    const unsigned status = result ? result.value().status : 0;
    const auto end = this->classify(attempt, result);
    this->record(ended.mapped(), end,
                 result ? "status " + std::to_string(status)
                        : result.error().message);
    this->apply(this->decisions.handle_end(attempt, end, clock_now()));
}

bool request_session::is_wanted(attempt_id attempt) const
{
    const auto found = this->calls.find(attempt);
    return found != this->calls.end() && !found->second.is_released &&
           !this->decisions.is_evacuated(found->second.upstream->spec);
}

attempt_outcome request_session::classify(attempt_id attempt,
                                          upstream_result& result)
{
    if (!result)
        return result.error().was_sent ? attempt_outcome::failed
                                       : attempt_outcome::unsent;
    auto& reply = result.value();
    if (this->config.dialect->is_refusal(reply))
        return attempt_outcome::refused;
    // A reply without the upstream's signature may come from another server.
    if (!find_header(reply.headers, this->config.header_names->signature))
        return attempt_outcome::failed;
    const bool is_final = this->config.is_scattered
                              ? is_success(reply)
                              : reply.status < min_server_error_status;
    if (is_final)
    {
        this->replies.emplace(attempt, this->config.is_scattered
                                           ? this->reduce(std::move(reply))
                                           : std::move(reply));
        return attempt_outcome::answered;
    }
    if (!this->config.is_scattered)
        this->outcome.failure = std::move(reply);
    return attempt_outcome::failed;
}

upstream_reply request_session::reduce(upstream_reply reply) const
{
    const auto& signature = this->config.header_names->signature;
    upstream_reply part{.status = reply.status,
                        .body = std::move(reply.body),
                        .latency = reply.latency};
    keep_top_records(part.body, this->config.max_records);
    part.headers.push_back(
        {signature,
         std::string(find_header(reply.headers, signature).value_or(""))});
    return part;
}

void request_session::record(const running_call& call, attempt_outcome end,
                             std::string_view reason)
{
    const auto& spec = call.upstream->spec;
    this->config.log->record_attempt({.request_id = this->config.request_id,
                                      .service = spec.service,
                                      .upstream = spec.id,
                                      .end = end,
                                      .reason = reason,
                                      .elapsed = clock_now() - call.started});
    if (this->config.is_scattered)
        return;
    auto& text = this->outcome.upstreams;
    if (!text.empty())
        text += ',';
    text += spec.id + ":" + std::string(to_string(end));
}

void request_session::record_rate_limit(const upstream_spec& upstream,
                                        const upstream_reply& reply)
{
    const auto statement = this->config.dialect->read_rate_limit(reply);
    if (!statement)
        return;
    const rate_limit_report report{.upstream = upstream.id,
                                   .failure_domain = upstream.failure_domain,
                                   .per_second = statement->per_second};
    if (this->config.rate_limits->record(report, clock_now()))
        log_rate_limit(report, "reply");
}

void request_session::record_warm_up(const upstream_spec& upstream,
                                     const upstream_reply& reply)
{
    const auto left = this->config.dialect->read_warm_up_left(reply);
    const bool is_news =
        left && this->config.rate_limits->record_cold(
                    upstream, *left, cold_origin::reply, clock_now());
    if (is_news && this->config.handle_cold)
        this->config.handle_cold();
}

void request_session::record_load(const running_call& call,
                                  const upstream_result& result)
{
    // A call that was never sent says nothing, nor does another upstream.
    if (this->config.load == nullptr || (!result && !result.error().was_sent) ||
        (result && this->config.dialect->is_misdirected(result.value())))
        return;
    const auto now = clock_now();
    load_estimate::ended_send ended{.service = call.upstream->spec.service,
                                    .upstream = call.upstream->spec.id,
                                    .elapsed = now - call.started};
    if (result)
    {
        const auto& reply = result.value();
        ended.load = this->config.dialect->read_report(reply).load_figures;
        if (this->config.dialect->is_refusal(reply))
            ended.end = send_end::rejected;
        else if (is_success(reply))
            ended.end = send_end::answered;
    }
    this->config.load->record_end(ended, now);
}

void request_session::handle_caller_disconnect()
{
    if (this->has_ended)
        return;
    this->is_caller_disconnected = true;
    this->apply(this->decisions.abandon());
    this->has_ended = true;
    this->timer.cancel();
    this->finished.cancel();
}

void request_session::cancel_released()
{
    const auto now = clock_now();
    for (auto each = this->calls.begin(); each != this->calls.end();)
    {
        if (!each->second.is_released)
        {
            ++each;
            continue;
        }
        this->config.upstreams->cancel(each->second.id);
        if (this->config.load != nullptr)
            this->config.load->record_end(
                {.service = each->second.upstream->spec.service,
                 .upstream = each->second.upstream->spec.id,
                 .elapsed = now - each->second.started},
                now);
        each->second.upstream->state->record_unanswered(
            now - each->second.started, now);
        each = this->calls.erase(each);
    }
}

}
