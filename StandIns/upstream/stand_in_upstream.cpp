#include "StandIns/upstream/stand_in_upstream.hpp"

#include "net/http_target.hpp"
#include "net/store_error.hpp"
#include "StandIns/upstream/rows.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <utility>
#include <xxhash.h>

namespace wisteriahatch
{

namespace json = boost::json;

namespace
{

constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_internal_error = 500;
// How often a paused reply checks whether `pause_replies` is still set.
constexpr std::chrono::milliseconds pause_check_interval{2};

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Returns a string member, or "" if it is missing or of another type.
std::string text_member(const json::object& object, std::string_view key)
{
    const auto* found = object.if_contains(key);
    return found != nullptr && found->is_string()
               ? std::string(found->get_string())
               : std::string();
}

// Returns a member as an unsigned integer, or `fallback` if it is missing or
// not such a number.
std::uint64_t number_member(const json::object& object, std::string_view key,
                            std::uint64_t fallback)
{
    boost::system::error_code failure;
    const auto* found = object.if_contains(key);
    if (found == nullptr)
        return fallback;
    const auto value = found->to_number<std::uint64_t>(failure);
    return failure ? fallback : value;
}

http_reply make_reply(unsigned status, const json::object& body)
{
    http_reply reply;
    reply.status = status;
    reply.body = json::serialize(body);
    return reply;
}

}

stand_in_upstream::stand_in_upstream(worker_pool& pool,
                                     options upstream_options)
    : workers(pool)
    , values(std::move(upstream_options))
    , behaviour(this->values.behaviour)
    , random(this->values.seed +
             XXH3_64bits(this->values.name.data(), this->values.name.size()))
    , started(now())
    , server(pool,
             {.listen = this->values.listen,
              .max_connections = this->values.connections},
             [this](http_request request)
             { return this->handle(std::move(request)); })
{
}

result<void> stand_in_upstream::start()
{
    this->started = now();
    return this->server.start();
}

const std::string& stand_in_upstream::name() const
{
    return this->values.name;
}

boost::asio::ip::tcp::endpoint stand_in_upstream::endpoint() const
{
    return this->server.endpoint();
}

boost::asio::io_context& stand_in_upstream::worker() const
{
    return this->workers.at(0);
}

json::object stand_in_upstream::counters() const
{
    auto body = this->counted.to_json();
    const auto connections = this->server.connections();
    body["connections"] = connections.open;
    body["connections_max"] = connections.peak_open;
    body["connections_refused"] = connections.refused;
    body["in_flight"] = this->slots.busy() + this->slots.waiting();
    return body;
}

result<void> stand_in_upstream::control(const json::object& changes)
{
    return change_behaviour(this->behaviour, changes);
}

boost::asio::awaitable<http_reply>
stand_in_upstream::handle(http_request request)
{
    const auto target = parse_target(request.target);
    if (target.path == "/search" || target.path == "/run")
        co_return co_await this->handle_work(std::move(request),
                                             target.path == "/run");
    if (target.path == "/status")
    {
        const auto service = target.parameters.find("service");
        co_return this->make_status_reply(
            service == target.parameters.end() ? "" : service->second);
    }
    if (target.path == "/counters")
        co_return make_reply(200, this->counters());
    if (target.path == "/control")
        co_return this->handle_control(request.body);
    const error unknown{error_kind::malformed_request,
                        "unknown path " + target.path};
    co_return make_error_reply(404, unknown);
}

boost::asio::awaitable<http_reply>
stand_in_upstream::handle_work(http_request request, bool is_run)
{
    ++this->counted.received;
    if (this->behaviour.draining)
        ++this->counted.work_after_drain;
    auto item = parse_work(request, is_run);
    if (!item)
    {
        ++this->counted.malformed;
        const error malformed{error_kind::malformed_request,
                              "the body is not a JSON object with request_id"};
        co_return make_error_reply(400, malformed);
    }
    if (auto refusal = this->refuse(*item))
        co_return std::move(*refusal);

    const auto ticket = std::make_shared<slot_queue::ticket>(this->worker());
    if (!this->slots.enter(ticket, this->behaviour.slots,
                           this->behaviour.queue))
    {
        ++this->counted.shed;
        co_return this->make_shed_reply(*item);
    }
    *request.on_peer_gone = [ticket]()
    {
        ticket->is_cancelled = true;
        ticket->timer.cancel();
    };
    ticket->is_cancelled = *request.is_peer_gone;
    this->counted.beyond_slots_max = std::max<std::uint64_t>(
        this->counted.beyond_slots_max, this->slots.waiting());
    this->counted.in_flight_max =
        std::max<std::uint64_t>(this->counted.in_flight_max,
                                this->slots.busy() + this->slots.waiting());

    co_await slot_queue::wait(ticket);
    auto reply = co_await this->serve(*item, ticket);
    this->slots.leave(ticket, this->behaviour.slots);
    // There is no reply when the peer has closed the connection, so the shed
    // reply is not read then.
    co_return reply ? std::move(*reply) : this->make_shed_reply(*item);
}

boost::asio::awaitable<std::optional<http_reply>>
stand_in_upstream::serve(const work& item, ticket_ptr ticket)
{
    if (ticket->is_cancelled)
    {
        ++this->counted.cancelled;
        co_return std::nullopt;
    }
    if (now() >= item.deadline)
    {
        ++this->counted.expired;
        co_return this->make_shed_reply(item);
    }
    this->count_start(item);
    // A run that has started is completed even if its caller disconnects.
    const bool is_cancellable = !item.is_run;
    const auto done = now() + this->service_time();
    co_await this->wait_until(ticket, done, is_cancellable);
    while (this->behaviour.pause_replies && !ticket->is_cancelled)
    {
        const auto resume = now() + pause_check_interval;
        co_await this->wait_until(ticket, resume, true);
    }
    if (ticket->is_cancelled)
        ++this->counted.cancelled;
    if (ticket->is_cancelled && is_cancellable)
        co_return std::nullopt;
    ++(item.is_run ? this->counted.runs_finished
                   : this->counted.searches_finished);
    co_return this->make_work_reply(item);
}

boost::asio::awaitable<void> stand_in_upstream::wait_until(ticket_ptr ticket,
                                                           time_point done,
                                                           bool is_cancellable)
{
    boost::system::error_code ignored;
    while (now() < done && !(is_cancellable && ticket->is_cancelled))
    {
        ticket->timer.expires_at(done);
        co_await ticket->timer.async_wait(store_error(ignored));
    }
}

std::optional<http_reply> stand_in_upstream::refuse(const work& item)
{
    if (this->behaviour.shed_all)
    {
        ++this->counted.shed;
        return this->make_shed_reply(item);
    }
    if (this->behaviour.fail_fast)
        return make_error_reply(status_internal_error,
                                {error_kind::internal, "fail_fast is set"});
    const auto held = this->behaviour.versions.find(item.service);
    if (item.is_run || held == this->behaviour.versions.end() ||
        std::ranges::count(held->second, item.version) > 0)
        return std::nullopt;
    ++this->counted.versions_refused;
    auto reply = make_reply(status_conflict,
                            {{"error", "version_unavailable"},
                             {"versions", json::value_from(held->second)}});
    this->add_headers(reply, item.service);
    return reply;
}

void stand_in_upstream::count_start(const work& item)
{
    if (!item.is_run)
    {
        ++this->counted.searches_started;
        return;
    }
    ++this->counted.runs_started;
    ++this->counted.runs[item.request_id];
    if (!item.run_id.empty())
        ++this->counted.run_ids[item.run_id];
}

std::optional<stand_in_upstream::work>
stand_in_upstream::parse_work(const http_request& request, bool is_run)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(request.body, failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    const auto& object = parsed.get_object();
    work item;
    item.is_run = is_run;
    item.request_id = text_member(object, "request_id");
    item.service = text_member(object, "service");
    item.shard = text_member(object, "shard");
    item.query = text_member(object, "query");
    item.version = number_member(object, "index_version", 0);
    if (const auto* payload = object.if_contains("payload"))
        if (payload->is_object())
            item.run_id = text_member(payload->get_object(), "run_id");
    constexpr std::uint64_t default_deadline_ms = 60'000;
    item.deadline =
        request.received + std::chrono::milliseconds(number_member(
                               object, "deadline_ms", default_deadline_ms));
    if (item.request_id.empty())
        return std::nullopt;
    return item;
}

http_reply stand_in_upstream::make_shed_reply(const work& item) const
{
    auto reply =
        make_reply(status_unavailable,
                   {{"request_id", item.request_id}, {"started", false}});
    this->add_headers(reply, item.service);
    return reply;
}

http_reply stand_in_upstream::make_work_reply(const work& item)
{
    const auto previous =
        std::exchange(this->previous_request_id, item.request_id);
    json::object body;
    body["request_id"] =
        this->behaviour.wrong_request_id ? previous : item.request_id;
    if (item.is_run)
        body["result"] = "done by " + this->name();
    else
    {
        const auto shard =
            this->behaviour.wrong_shard ? item.shard + "-other" : item.shard;
        const auto version =
            item.version + (this->behaviour.wrong_version ? 1 : 0);
        body["shard"] = shard;
        body["index_version"] = version;
        auto& rows = body["rows"].emplace_array();
        for (const auto& [key, value] :
             make_rows(item.service, shard, version, item.query))
            rows.push_back(json::object{{"key", key}, {"value", value}});
    }
    if (this->behaviour.oversize_bytes > 0)
        body["padding"] = std::string(this->behaviour.oversize_bytes, 'x');
    auto reply = make_reply(200, body);
    this->add_headers(reply, item.service);
    if (this->behaviour.truncate_replies)
    {
        reply.announced_length = reply.body.size();
        reply.body.resize(reply.body.size() / 2);
    }
    return reply;
}

http_reply
stand_in_upstream::make_status_reply(const std::string& service) const
{
    json::object body;
    body["versions"] = json::value_from(this->behaviour.versions);
    body["draining"] = this->behaviour.draining;
    body["load"] = this->load();
    auto reply = make_reply(200, body);
    this->add_headers(reply, service);
    return reply;
}

http_reply stand_in_upstream::handle_control(const std::string& body)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return make_error_reply(400, {error_kind::malformed_request,
                                      "the body is not a JSON object"});
    const auto changed = this->control(parsed.get_object());
    return changed ? make_reply(200, {{"changed", true}})
                   : make_error_reply(400, changed.error());
}

void stand_in_upstream::add_headers(http_reply& reply,
                                    const std::string& service) const
{
    reply.headers.emplace_back("x-draining",
                               this->behaviour.draining ? "1" : "0");
    reply.headers.emplace_back("x-load", std::to_string(this->load()));
    const auto held = this->behaviour.versions.find(service);
    if (held == this->behaviour.versions.end())
        return;
    std::string list;
    for (const auto version : held->second)
        list += (list.empty() ? "" : ",") + std::to_string(version);
    reply.headers.emplace_back("x-index-versions", list);
}

duration stand_in_upstream::service_time()
{
    double milliseconds = this->behaviour.latency_ms;
    if (this->behaviour.latency_model == "exponential" && milliseconds > 0)
        milliseconds =
            std::exponential_distribution(1 / milliseconds)(this->random);
    milliseconds *= this->behaviour.straggler_factor;
    if (now() < this->started +
                    std::chrono::milliseconds(this->behaviour.cold_start_ms))
        milliseconds *= this->behaviour.cold_start_factor;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

double stand_in_upstream::load() const
{
    if (this->behaviour.reported_load)
        return *this->behaviour.reported_load;
    const auto in_flight = this->slots.busy() + this->slots.waiting();
    return static_cast<double>(in_flight) /
           static_cast<double>(
               std::max<std::int64_t>(1, this->behaviour.slots));
}

}
