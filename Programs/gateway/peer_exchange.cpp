#include "peer_exchange.hpp"

#include "core/process/gossip_codec.hpp"
#include "peer_source.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <stdexcept>
#include <utility>
#include <vector>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds max_timer_period{200};
constexpr std::chrono::milliseconds call_timeout{400};
// There is about one call a second; the second thread makes calls while the
// first waits for a peer that does not answer.
constexpr std::size_t call_threads = 2;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

}

peer_exchange::peer_exchange(options opts)
    : config(std::move(opts))
    , members(this->config.membership_options, this->config.state->random())
    , peers(peer_client::options{.control = this->config.worker,
                                 .timeout = call_timeout,
                                 .threads = call_threads})
    , fleet(clock_now())
    , announcement_timer(*this->config.worker)
{
    this->methods.add("gossip.exchange", [this](const std::string& parameters)
                      { return this->answer_gossip(parameters); });
    this->methods.add(
        "routing.fetch", [this](const std::string&)
        { return encode_snapshot(this->config.watcher->snapshot()); });
    this->methods.add("routing.changes", [this](const std::string& parameters)
                      { return this->answer_changes(parameters); });
}

void peer_exchange::start()
{
    for (const auto& each : this->members.start(clock_now()))
        this->exchange(each);
    asio::co_spawn(
        *this->config.worker, [this] { return this->run_timer(); },
        asio::detached);
}

void peer_exchange::stop()
{
    this->peers.stop();
}

asio::awaitable<result<std::string>> peer_exchange::call(std::string address,
                                                         std::string method,
                                                         std::string parameters)
{
    struct pending_call
    {
        std::optional<result<std::string>> answer;
        asio::steady_timer done;
    };
    const auto pending = std::make_shared<pending_call>(
        pending_call{std::nullopt, asio::steady_timer(*this->config.worker,
                                                      time_point::max())});
    this->peers.call(address, std::move(method), std::move(parameters),
                     [pending](result<std::string> answer)
                     {
                         pending->answer.emplace(std::move(answer));
                         pending->done.cancel();
                     });
    boost::system::error_code ignored;
    co_await pending->done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (pending->answer)
        co_return std::move(*pending->answer);
    co_return error{error_kind::shutting_down, "the call was not finished"};
}

std::string peer_exchange::reader_address() const
{
    const auto& own = this->members.members().self();
    std::vector<std::string> live;
    for (const auto& member : this->members.members().members())
        if (member.state == member_state::alive &&
            member.failure_domain == own.failure_domain)
            live.push_back(member.address);
    return this->readers.choose(own.address, std::move(live), clock_now());
}

void peer_exchange::record_reader_failure(const std::string& reader)
{
    this->readers.record_failure(reader, clock_now());
}

std::size_t peer_exchange::live_members() const
{
    return this->members.members().live_addresses().size();
}

void peer_exchange::set_leaving()
{
    this->members.set_leaving(clock_now());
}

void peer_exchange::handle_pause()
{
    this->members.handle_pause(clock_now());
}

std::string peer_exchange::handle_message(const std::string& message)
{
    return this->methods.handle(message);
}

std::string peer_exchange::answer_gossip(const std::string& parameters)
{
    const auto message = decode_gossip(parameters);
    if (!message)
        throw std::runtime_error(message.error().message);
    const auto reply =
        this->members.handle_exchange(message.value(), clock_now());
    this->merge_rate_limits(message.value());
    this->fetch_if_newer(message.value());
    return encode_gossip(this->with_gateway_state(reply));
}

gossip_message peer_exchange::with_gateway_state(gossip_message message)
{
    message.routing = this->config.watcher->position();
    message.rate_limits = this->config.state->rate_limits.reports(
        max_rate_limit_reports, clock_now());
    return message;
}

void peer_exchange::merge_rate_limits(const gossip_message& message)
{
    for (const auto& report : message.rate_limits)
    {
        const bool has_changed = this->config.state->rate_limits.merge(
            report, message.sender.address, clock_now());
        if (has_changed)
            this->config.handle_rate_limit(report);
    }
    this->announce_cold_upstreams();
}

void peer_exchange::announce_cold_upstreams()
{
    if (!this->config.state->rate_limits.take_cold_news() ||
        std::exchange(this->is_announcement_due, true))
        return;
    this->announcement_timer.expires_at(this->last_announcement +
                                        announcement_interval);
    this->announcement_timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure)
                this->send_announcements();
        });
}

void peer_exchange::send_announcements()
{
    this->is_announcement_due = false;
    this->last_announcement = clock_now();
    auto others = this->members.members().live_addresses();
    std::erase(others, this->members.members().self().address);
    std::vector<std::string> targets;
    std::ranges::sample(others, std::back_inserter(targets),
                        announcement_targets, this->config.state->random);
    for (const auto& target : targets)
        this->exchange(this->members.make_exchange(target));
}

void peer_exchange::update_rate_limit_fleet()
{
    const auto now = clock_now();
    if (now < this->next_fleet_update)
        return;
    this->next_fleet_update = now + rate_limit_fleet_interval;
    rate_limit_fleet shares{.size = this->fleet.size(),
                            .own_address =
                                this->members.members().self().address};
    for (const auto& member : this->members.members().members())
    {
        const bool is_live = member.state == member_state::alive ||
                             member.state == member_state::suspect ||
                             member.address == shares.own_address;
        if (is_live)
            shares.live.push_back({.address = member.address,
                                   .failure_domain = member.failure_domain});
    }
    this->config.state->rate_limits.set_fleet(std::move(shares));
}

std::string peer_exchange::answer_changes(const std::string& parameters)
{
    const auto position = decode_routing_position(parameters);
    if (!position)
        throw std::runtime_error(position.error().message);
    const auto& watcher = *this->config.watcher;
    if (!watcher.is_source_reachable())
        throw std::runtime_error(
            "this instance can't reach the configuration source");
    return encode_changes(watcher.changes_since(position.value()));
}

void peer_exchange::exchange(const membership::exchange& next)
{
    this->peers.call(
        next.address, "gossip.exchange",
        encode_gossip(this->with_gateway_state(next.message)),
        [this, address = next.address](const result<std::string>& answer)
        { this->handle_answer(address, answer); });
}

void peer_exchange::handle_answer(const std::string& address,
                                  const result<std::string>& answer)
{
    const auto now = clock_now();
    const auto reply = answer ? decode_gossip(answer.value())
                              : result<gossip_message>(answer.error());
    if (!reply)
    {
        this->members.handle_no_answer(address, now);
        return;
    }
    const auto follow_up =
        this->members.handle_reply(address, reply.value(), now);
    this->merge_rate_limits(reply.value());
    this->fetch_if_newer(reply.value());
    if (follow_up)
        this->exchange(*follow_up);
}

void peer_exchange::fetch_if_newer(const gossip_message& message)
{
    const auto now = clock_now();
    const auto& peer = message.sender;
    const auto own = this->config.watcher->position();
    const auto theirs = message.routing.value_or(
        routing_position{.source = {.revision = peer.document.serial}});
    const bool is_silent =
        now - this->config.watcher->last_answer() > source_silence_timeout ||
        !this->config.watcher->is_source_reachable();
    const bool is_later = theirs.source > own.source && is_silent;
    const bool has_missed_routes =
        this->route_lag.update(own.version, theirs.version, now);
    if ((!is_later && !has_missed_routes) ||
        now - this->last_snapshot < snapshot_interval)
        return;
    this->last_snapshot = now;
    this->peers.call(
        peer.address, "routing.fetch", "{}",
        [this, address = peer.address](const result<std::string>& answer)
        { this->adopt(address, answer); });
}

void peer_exchange::adopt(const std::string& address,
                          const result<std::string>& answer)
{
    const auto snapshot = answer ? decode_snapshot(answer.value())
                                 : result<routing_snapshot>(answer.error());
    if (snapshot)
        this->config.watcher->adopt_snapshot(snapshot.value(), address);
    else
        log_event(log_level::warning, "peer_routing_failed",
                  {{"peer", address}, {"reason", snapshot.error().message}});
}

asio::awaitable<void> peer_exchange::run_timer()
{
    asio::steady_timer timer(*this->config.worker);
    source_position announced;
    for (;;)
    {
        const auto now = clock_now();
        const auto current = this->config.watcher->position().source;
        if (current != announced)
            this->members.set_document_key({.serial = current.revision}, now);
        announced = current;
        for (const auto& each : this->members.handle_timer(now))
            this->exchange(each);
        if (this->fleet.update(this->live_members(), now))
            this->config.handle_fleet_size(this->fleet.size());
        this->update_rate_limit_fleet();
        timer.expires_at(std::min(now + max_timer_period,
                                  std::max(this->members.next_timer(), now)));
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

}
