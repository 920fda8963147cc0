#include "control_loop.hpp"

#include "clock.hpp"
#include "control_options.hpp"
#include "core/process/gossip_codec.hpp"
#include "net/http_client.hpp"
#include "telemetry/log.hpp"
#include "view_builder.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <stdexcept>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds timer_period{50};
// Time that the platform may hold a watch open.
constexpr std::chrono::milliseconds watch_wait{10000};
// Time-out of a read, in addition to the wait of a watch.
constexpr std::chrono::milliseconds read_timeout{1000};
// Pause between two reads of the directory, also after a failed one.
constexpr std::chrono::milliseconds directory_read_pause{500};
constexpr unsigned status_ok = 200;

http_client_request make_read_request(const std::string& path,
                                      std::uint64_t after,
                                      std::chrono::milliseconds wait)
{
    http_client_request request;
    request.target = path + "?after=" + std::to_string(after) +
                     "&wait_ms=" + std::to_string(wait.count());
    request.max_reply_bytes = max_directory_bytes;
    request.timeout = wait + read_timeout;
    return request;
}

}

control_loop::control_loop(options opts)
    : config(std::move(opts))
    , documents(store_options(*this->config.values), random_seed())
    , members(member_options(*this->config.values, this->config.self),
              random_seed())
    , peers(peer_client::options{
          .control = this->config.control,
          .count_bytes = [measures = this->config.measures](
                             std::size_t sent, std::size_t received)
          {
              measures->count_control_bytes(static_cast<double>(sent),
                                            static_cast<double>(received));
          }})
{
    this->add_peer_methods();
}

void control_loop::add_peer_methods()
{
    this->peer_methods.add("gossip.exchange",
                           [this](const std::string& parameters)
                           { return this->answer_gossip(parameters); });
    this->peer_methods.add(
        "document.fetch",
        [this](const std::string& parameters)
        {
            const auto request = decode_document_request(parameters);
            if (!request)
                throw std::runtime_error(request.error().message);
            return encode_document_transfer(
                this->documents.answer_fetch(request.value()));
        });
    this->peer_methods.add(
        "directory.fetch",
        [this](const std::string&)
        {
            if (this->current_directory == nullptr)
                throw std::runtime_error(
                    "this instance has no directory yet; ask "
                    "another instance");
            return encode_directory(*this->current_directory);
        });
}

std::string control_loop::answer_gossip(const std::string& parameters)
{
    const auto message = decode_gossip(parameters);
    if (!message)
        throw std::runtime_error(message.error().message);
    const auto now = clock_now();
    auto reply =
        encode_gossip(this->members.handle_exchange(message.value(), now));
    const auto& sender = message.value().sender;
    this->apply(
        this->documents.handle_peer_key(sender.address, sender.document, now));
    return reply;
}

void control_loop::start()
{
    const auto now = clock_now();
    const auto& platform = this->config.values->platform_address;
    this->publish_status();
    for (const auto& each : this->members.start(now))
        this->exchange(each);
    this->apply(this->documents.start(this->known_peers(), now));
    for (const auto& peer : this->known_peers())
        this->fetch_directory(peer);
    if (platform)
        asio::co_spawn(*this->config.control, this->watch_directory(),
                       asio::detached);
    asio::co_spawn(*this->config.control, this->run_timer(), asio::detached);
}

void control_loop::set_leaving()
{
    this->leaving = true;
    this->ready = false;
    asio::post(*this->config.control,
               [this] { this->members.set_leaving(clock_now()); });
}

void control_loop::stop()
{
    this->peers.stop();
}

bool control_loop::is_ready() const
{
    return this->ready;
}

std::shared_ptr<const control_loop::status> control_loop::latest_status() const
{
    return this->published_status.latest();
}

std::string control_loop::handle_peer_message(const std::string& message)
{
    auto reply = this->peer_methods.handle(message);
    this->config.measures->count_control_bytes(
        static_cast<double>(reply.size()), static_cast<double>(message.size()));
    return reply;
}

void control_loop::apply(const std::vector<document_action>& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& each) { this->act(each); }, action);
}

void control_loop::act(const request_peer_key& action)
{
    this->exchange(this->members.make_exchange(action.peer));
}

void control_loop::act(const fetch_document& action)
{
    this->peers.call(
        action.peer, "document.fetch", encode_document_request(action.request),
        [this, peer = action.peer](const result<std::string>& answer)
        {
            const auto now = clock_now();
            if (!answer)
            {
                this->apply(this->documents.handle_fetch_failure(peer, now));
                return;
            }
            const auto transfer = decode_document_transfer(answer.value());
            if (!transfer)
            {
                this->apply(this->documents.handle_fetch_failure(peer, now));
                return;
            }
            const auto outcome =
                this->documents.handle_transfer(peer, transfer.value(), now);
            this->report(outcome, peer);
            this->apply(outcome.actions);
        });
}

void control_loop::act(const read_configuration& action)
{
    if (!this->config.values->platform_address)
    {
        this->documents.handle_service_answer(clock_now());
        return;
    }
    asio::co_spawn(*this->config.control, this->read_document(action.is_watch),
                   asio::detached);
}

void control_loop::act(const activate_document& action)
{
    const auto now = clock_now();
    this->members.set_document_key(action.accepted->key, now);
    this->config.measures->set_document_serial(
        static_cast<double>(action.accepted->key.serial));
    this->publish_view();
    log_event(log_level::info, "document_in_force",
              {{"serial", std::to_string(action.accepted->key.serial)},
               {"digest", action.accepted->key.digest}});
}

void control_loop::report(const document_outcome& outcome,
                          const std::string& source)
{
    if (outcome.verdict == document_verdict::same)
        return;
    const std::string verdict(to_string(outcome.verdict));
    this->config.measures->count_document(verdict);
    const auto level = outcome.verdict == document_verdict::accepted
                           ? log_level::info
                           : log_level::warning;
    log_event(level, "document_arrived",
              {{"verdict", verdict},
               {"source", source},
               {"serial", std::to_string(outcome.key.serial)},
               {"digest", outcome.key.digest}});
    for (const auto& problem : outcome.problems)
        log_event(log_level::warning, "document_problem",
                  {{"problem", to_string(problem)}});
}

void control_loop::exchange(const membership::exchange& next)
{
    this->peers.call(
        next.address, "gossip.exchange", encode_gossip(next.message),
        [this, address = next.address](const result<std::string>& answer)
        { this->handle_gossip_answer(address, answer); });
}

void control_loop::handle_gossip_answer(const std::string& address,
                                        const result<std::string>& answer)
{
    const auto now = clock_now();
    if (!answer)
    {
        this->members.handle_no_answer(address, now);
        return;
    }
    const auto reply = decode_gossip(answer.value());
    if (!reply)
    {
        this->members.handle_no_answer(address, now);
        return;
    }
    const auto follow_up =
        this->members.handle_reply(address, reply.value(), now);
    this->apply(this->documents.handle_peer_key(
        address, reply.value().sender.document, now));
    if (this->current_directory == nullptr)
        this->fetch_directory(address);
    if (follow_up)
        this->exchange(*follow_up);
}

void control_loop::fetch_directory(const std::string& peer)
{
    this->peers.call(peer, "directory.fetch", "{}",
                     [this](const result<std::string>& answer)
                     {
                         if (!answer)
                             return;
                         auto list = decode_directory(answer.value());
                         if (list)
                             this->handle_directory(std::move(list.value()));
                     });
}

void control_loop::handle_directory(directory next)
{
    // A copy from a peer or from a lagging replica of the platform may be older
    // than the current directory; it is ignored.
    if (this->current_directory != nullptr &&
        next.revision <= this->current_directory->revision)
        return;
    this->current_directory =
        std::make_shared<const directory>(std::move(next));
    this->members.set_hints(this->current_directory->entry_peers());
    this->publish_view();
    this->apply(
        this->documents.handle_directory(this->known_peers(), clock_now()));
}

void control_loop::publish_view()
{
    this->publish_status();
    if (this->documents.current() == nullptr ||
        this->current_directory == nullptr)
        return;
    auto built = build_view(this->documents.current(), *this->current_directory,
                            this->config.views->latest(),
                            this->config.values->policy, clock_now());
    this->config.upstreams->set_upstreams(std::move(built.addresses));
    this->config.views->publish(std::move(built.view));
}

void control_loop::publish_status()
{
    auto next = std::make_shared<status>();
    next->document = this->documents.key();
    next->directory_revision = this->current_directory == nullptr
                                   ? 0
                                   : this->current_directory->revision;
    next->members = this->members.members().members();
    next->is_reader = this->documents.is_reader();
    this->published_status.publish(std::move(next));
}

void control_loop::update_members()
{
    const auto& table = this->members.members();
    if (table.generation() == this->members_generation)
        return;
    this->members_generation = table.generation();
    const auto addresses = table.live_addresses();
    this->config.measures->instance().set_members(
        static_cast<double>(addresses.size()));
    this->apply(this->documents.set_members(addresses, clock_now()));
    this->publish_status();
}

std::vector<std::string> control_loop::known_peers() const
{
    auto addresses = this->members.members().live_addresses();
    const auto& seeds = this->config.values->seeds;
    addresses.insert(addresses.end(), seeds.begin(), seeds.end());
    if (this->current_directory != nullptr)
    {
        const auto listed = this->current_directory->entry_peers();
        addresses.insert(addresses.end(), listed.begin(), listed.end());
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()),
                    addresses.end());
    std::erase(addresses, format_endpoint(this->config.values->peer_address));
    return addresses;
}

asio::awaitable<void> control_loop::read_document(bool is_watch)
{
    const auto wait = is_watch ? watch_wait : std::chrono::milliseconds(0);
    auto request =
        make_read_request("/document", this->document_revision, wait);
    auto reading = fetch(*this->config.values->platform_address, request);
    const auto reply = co_await std::move(reading);
    const auto now = clock_now();
    if (!reply || reply.value().status != status_ok)
    {
        this->documents.handle_service_answer(now);
        co_return;
    }
    const auto revision = reply.value().headers.find("x-revision");
    std::uint64_t number = 0;
    if (revision != reply.value().headers.end() &&
        boost::conversion::try_lexical_convert(revision->second, number))
        this->document_revision = number;
    const auto outcome = this->documents.handle_text(reply.value().body, now);
    this->report(outcome, "service");
    this->apply(outcome.actions);
}

asio::awaitable<void> control_loop::watch_directory()
{
    asio::steady_timer pause(*this->config.control);
    std::uint64_t revision = 0;
    for (;;)
    {
        auto request = make_read_request("/instances", revision, watch_wait);
        auto reading = fetch(*this->config.values->platform_address, request);
        const auto reply = co_await std::move(reading);
        if (reply && reply.value().status == status_ok)
        {
            auto list = decode_directory(reply.value().body);
            if (list)
            {
                revision = list.value().revision;
                if (list.value().ignored_entries > 0)
                    log_event(log_level::warning, "directory_entries_ignored",
                              {{"revision", std::to_string(revision)},
                               {"entries",
                                std::to_string(list.value().ignored_entries)}});
                this->handle_directory(std::move(list.value()));
            }
            else
                log_event(log_level::warning, "directory_refused",
                          {{"reason", list.error().message}});
        }
        pause.expires_after(directory_read_pause);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> control_loop::run_timer()
{
    asio::steady_timer timer(*this->config.control);
    for (;;)
    {
        const auto now = clock_now();
        if (this->config.pauses->tick(now))
        {
            log_event(log_level::warning, "pause_detected");
            this->config.handle_pause();
            this->members.handle_pause(now);
            this->apply(this->documents.handle_pause(this->known_peers(), now));
        }
        for (const auto& each : this->members.handle_timer(now))
            this->exchange(each);
        this->update_members();
        this->apply(this->documents.handle_timer(now));
        const bool may_serve = this->documents.is_ready(now) && !this->leaving;
        this->ready = may_serve;
        this->config.measures->instance().set_ready(may_serve);
        timer.expires_after(timer_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

}
