#include "peer_exchange.hpp"

#include "core/process/gossip_codec.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds longest_timer_period{200};
constexpr std::chrono::milliseconds call_timeout{400};
// One call a second needs no more; a second thread serves while one waits for
// a peer that does not answer.
constexpr std::size_t call_threads = 2;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

}

peer_exchange::peer_exchange(options values)
    : chosen(std::move(values))
    , members(this->chosen.members, this->chosen.state->random())
    , peers(peer_client::options{.control = this->chosen.worker,
                                 .timeout = call_timeout,
                                 .threads = call_threads})
    , share(clock_now())
{
    this->methods.add("gossip.exchange", [this](const std::string& parameters)
                      { return this->answer_gossip(parameters); });
    this->methods.add(
        "routing.fetch", [this](const std::string&)
        { return encode_snapshot(this->chosen.watcher->current()); });
}

void peer_exchange::start()
{
    for (const auto& each : this->members.start(clock_now()))
        this->exchange(each);
    asio::co_spawn(
        *this->chosen.worker, [this] { return this->run_timer(); },
        asio::detached);
}

void peer_exchange::stop()
{
    this->peers.stop();
}

std::size_t peer_exchange::live_members() const
{
    return this->members.members().live_addresses().size();
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
    this->consider(message.value().sender);
    return encode_gossip(reply);
}

void peer_exchange::exchange(const membership::exchange& next)
{
    this->peers.call(
        next.address, "gossip.exchange", encode_gossip(next.message),
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
    this->consider(reply.value().sender);
    if (follow_up)
        this->exchange(*follow_up);
}

void peer_exchange::consider(const member_record& peer)
{
    const auto now = clock_now();
    const auto& state = *this->chosen.state;
    const bool is_newer =
        peer.document.serial > this->chosen.watcher->known_revision();
    const bool is_silent = now - state.source_heard > source_silence ||
                           !this->chosen.watcher->is_in_contact();
    if (!is_newer || !is_silent ||
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
        this->chosen.watcher->adopt_snapshot(snapshot.value(), address);
    else
        log_event(log_level::warning, "peer_routing_failed",
                  {{"peer", address}, {"reason", snapshot.error().message}});
}

asio::awaitable<void> peer_exchange::run_timer()
{
    asio::steady_timer timer(*this->chosen.worker);
    std::uint64_t announced = 0;
    for (;;)
    {
        const auto now = clock_now();
        const auto revision = this->chosen.watcher->known_revision();
        if (revision != announced)
            this->members.set_document_key({.serial = revision}, now);
        announced = revision;
        for (const auto& each : this->members.handle_timer(now))
            this->exchange(each);
        if (this->share.update(this->live_members(), now))
            this->chosen.handle_instances(this->share.instances());
        timer.expires_at(std::min(now + longest_timer_period,
                                  std::max(this->members.next_timer(), now)));
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

}
