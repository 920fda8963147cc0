#include "source_watcher.hpp"

#include "cold_upstreams.hpp"
#include "core/process/reader_selection.hpp"
#include "net/http_client.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <string>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

}

source_watcher::source_watcher(options opts)
    : config(std::move(opts))
    , pause_timer(*this->config.worker)
    , expiry_timer(*this->config.worker)
    , publisher({.state = this->config.state,
                 .upstreams = this->config.upstreams,
                 .instance = this->config.instance,
                 .failure_domain = this->config.failure_domain,
                 .max_connections = this->config.max_upstream_connections})
{
}

void source_watcher::start()
{
    asio::co_spawn(
        *this->config.worker, [this] { return this->run(); }, asio::detached);
}

void source_watcher::adopt_routes(const route_table_ptr& routes,
                                  const std::string& origin)
{
    auto& state = *this->config.state;
    if (!routes ||
        (state.routes && routes->version() <= state.routes->version()))
        return;
    state.routes = routes;
    state.split.retain(*routes);
    update_warm_up_rates(state);
    log_event(log_level::info, "routes_adopted",
              {{"version", std::to_string(routes->version())},
               {"routes", std::to_string(routes->routes().size())},
               {"origin", origin}});
    this->publisher.publish(this->fleet);
}

void source_watcher::adopt_snapshot(const routing_snapshot& snapshot,
                                    const std::string& peer)
{
    // Versions of the routes are in order across restorations of the source.
    this->adopt_routes(snapshot.routes, peer);
    if (snapshot.position <= this->known)
        return;
    log_event(log_level::info, "peer_routing_adopted",
              {{"peer", peer},
               {"epoch", std::to_string(snapshot.position.epoch)},
               {"revision", std::to_string(snapshot.position.revision)},
               {"known_epoch", std::to_string(this->known.epoch)},
               {"known_revision", std::to_string(this->known.revision)}});
    const auto before = std::exchange(this->known, snapshot.position);
    this->change_log.reset(this->known.revision);
    // The source can be watched from the peer's revision on, as after a read.
    // A peer of an earlier version does not state the evacuations, which have
    // to be read from the source then.
    this->has_snapshot =
        !this->config.follows_evacuations || snapshot.evacuated.has_value();
    this->replace_upstreams(snapshot.upstreams);
    this->adopt_evacuations(snapshot, before, peer);
    this->arm_expiry();
}

void source_watcher::replace_upstreams(const std::vector<upstream_spec>& specs)
{
    const auto now = clock_now();
    for (const auto& spec : specs)
        record_directory_entry(*this->config.state, spec, now);
    if (this->config.state->upstreams.replace_all(specs, now,
                                                  this->unchanged_at()))
        this->publisher.publish(this->fleet);
}

routing_snapshot source_watcher::snapshot() const
{
    const auto& state = *this->config.state;
    routing_snapshot current{.position = this->known,
                             .routes = state.routes,
                             .upstreams = state.upstreams.listed()};
    // The directory's entries say how long upstreams were cold when they were
    // written.
    for (auto& spec : current.upstreams)
        if (state.rate_limits.has_warm_up(spec.service))
            spec.warm_up_left = state.rate_limits.cold_left(spec, clock_now());
    if (this->are_evacuations_current)
        current.evacuated = state.evacuated.listed();
    return current;
}

bool source_watcher::follows_evacuations() const
{
    return this->config.follows_evacuations;
}

bool source_watcher::has_evacuations() const
{
    return !this->config.follows_evacuations || this->has_learned_evacuations;
}

routing_position source_watcher::position() const
{
    const auto& routes = this->config.state->routes;
    return {.source = this->known, .version = routes ? routes->version() : 0};
}

routing_changes
source_watcher::changes_since(const routing_position& other) const
{
    using std::chrono::milliseconds;
    routing_changes changes;
    if (other.source.epoch == this->known.epoch)
        changes = this->change_log.since(other.source.revision);
    else
        changes.is_history_lost = true;
    const auto own = this->position();
    changes.position = this->known;
    changes.source_age = std::chrono::ceil<milliseconds>(
        clock_now() - this->config.state->last_source_contact);
    if (own.version > other.version)
        changes.routes = this->config.state->routes;
    if (!this->are_evacuations_current)
        changes.evacuations.reset();
    return changes;
}

bool source_watcher::has_gap(const routing_changes& changes,
                             const source_position& asked_from) const
{
    // A restored store may have reached the revision again, with other changes.
    // A peer's snapshot may have been adopted while the call was under way.
    return changes.is_history_lost ||
           changes.position.epoch != asked_from.epoch ||
           this->known.epoch != asked_from.epoch;
}

bool source_watcher::is_source_reachable() const
{
    return this->has_reachable_source;
}

time_point source_watcher::last_answer() const
{
    return this->answered_at;
}

void source_watcher::handle_pause(duration length)
{
    auto& contact = this->config.state->last_source_contact;
    contact = std::min(contact, clock_now() - length);
}

void source_watcher::record_contact(time_point confirmed)
{
    auto& contact = this->config.state->last_source_contact;
    contact = std::max(contact, confirmed);
    this->is_contact_interrupted = false;
}

time_point source_watcher::unchanged_at() const
{
    return this->is_contact_interrupted
               ? clock_now()
               : this->config.state->last_source_contact;
}

void source_watcher::set_fleet_size(const fleet_size& size)
{
    this->fleet = size;
    this->publisher.publish(this->fleet);
}

asio::awaitable<void> source_watcher::run()
{
    duration retry = min_retry_delay;
    for (;;)
    {
        if (co_await this->ask_peer())
        {
            this->answered_at = clock_now();
            co_await this->pause(peer_poll_interval);
            continue;
        }
        const auto started = clock_now();
        const bool succeeded =
            this->has_snapshot ? co_await this->watch() : co_await this->read();
        if (succeeded)
        {
            retry = min_retry_delay;
            this->answered_at = clock_now();
            // A call that was answered late is followed by the next one at
            // once: there may be changes since it was answered.
            if (std::exchange(this->has_new_changes, false))
                co_await this->pause(started + change_batch_interval -
                                     clock_now());
            continue;
        }
        // Jitter, so that instances do not retry all at once.
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        co_await this->pause(std::chrono::duration_cast<duration>(
            retry * jitter(this->config.state->random)));
        retry = std::min<duration>(retry * 2, max_retry_delay);
    }
}

asio::awaitable<bool> source_watcher::read()
{
    const auto snapshot = co_await this->config.source->read();
    this->set_reachable(snapshot.has_value(),
                        snapshot ? "" : snapshot.error().message);
    if (!snapshot)
        co_return false;
    const auto before = std::exchange(this->known, snapshot.value().position);
    this->change_log.reset(this->known.revision);
    this->has_snapshot = true;
    this->adopt_routes(snapshot.value().routes, "snapshot");
    this->replace_upstreams(snapshot.value().upstreams);
    this->adopt_evacuations(snapshot.value(), before, "snapshot");
    log_event(log_level::info, "directory_read",
              {{"epoch", std::to_string(this->known.epoch)},
               {"revision", std::to_string(this->known.revision)},
               {"upstreams", std::to_string(snapshot.value().upstreams.size())},
               {"held", std::to_string(this->config.state->upstreams.held())}});
    this->record_contact(clock_now());
    this->arm_expiry();
    co_return true;
}

asio::awaitable<bool> source_watcher::watch()
{
    const auto asked_from = this->known;
    const auto changes =
        co_await this->config.source->watch(asked_from.revision, watch_wait);
    this->set_reachable(changes.has_value(),
                        changes ? "" : changes.error().message);
    if (!changes)
        co_return false;
    if (this->has_gap(changes.value(), asked_from))
    {
        log_event(log_level::warning, "directory_history_lost",
                  {{"epoch", std::to_string(this->known.epoch)},
                   {"revision", std::to_string(this->known.revision)}});
        this->has_snapshot = false;
        co_return true;
    }
    this->apply_changes(changes.value(), "watch");
    this->record_contact(clock_now());
    co_return true;
}

asio::awaitable<bool> source_watcher::ask_peer()
{
    if (this->config.peer == nullptr || !this->has_snapshot)
        co_return false;
    // The peer source chooses another reader after each failure.
    for (std::size_t reader = 0; reader <= reader_selection::max_failed_readers;
         ++reader)
    {
        const auto asked_from = this->known;
        const auto asked_at = clock_now();
        const auto changes = co_await this->config.peer->watch(
            asked_from.revision, std::chrono::milliseconds(0));
        if (changes && !this->has_gap(changes.value(), asked_from))
        {
            this->has_reachable_source = true;
            this->apply_changes(changes.value(), "peer");
            this->record_contact(asked_at - changes.value().source_age);
            co_return true;
        }
        if (changes && co_await this->read_peer())
        {
            this->record_contact(asked_at - changes.value().source_age);
            co_return true;
        }
        const bool has_no_reader =
            !changes && changes.error().kind == error_kind::no_configuration;
        if (has_no_reader)
            co_return false;
        log_event(
            log_level::warning, "reader_lost",
            {{"reason", changes ? "the peer has neither the changes since "
                                  "revision " +
                                      std::to_string(this->known.revision) +
                                      " nor a later snapshot"
                                : changes.error().message}});
    }
    co_return false;
}

asio::awaitable<bool> source_watcher::read_peer()
{
    const auto before = this->known;
    const auto snapshot = co_await this->config.peer->read();
    if (!snapshot)
        co_return false;
    this->adopt_snapshot(snapshot.value(), "reader");
    if (this->known <= before)
        co_return false;
    this->has_reachable_source = true;
    co_return true;
}

void source_watcher::apply_changes(const routing_changes& changes,
                                   const std::string& origin)
{
    // A peer's later snapshot may have been adopted while the call was under
    // way. Evacuations that have changed in it must not return.
    const bool is_latest = changes.position.revision >= this->known.revision;
    this->known.revision =
        std::max(this->known.revision, changes.position.revision);
    this->adopt_routes(changes.routes, origin);
    bool has_changed = false;
    const auto now = clock_now();
    for (const auto& change : changes.upstreams)
    {
        has_changed = this->apply_change(change, now) || has_changed;
        this->change_log.append(this->known.revision, change);
    }
    if (has_changed)
        this->publisher.publish(this->fleet);
    this->has_new_changes = changes.routes || !changes.upstreams.empty();
    if (this->config.follows_evacuations && is_latest && changes.evacuations)
        this->apply_evacuations(*changes.evacuations, origin);
    this->arm_expiry();
}

asio::awaitable<void> source_watcher::pause(duration length)
{
    boost::system::error_code ignored;
    this->pause_timer.expires_after(length);
    co_await this->pause_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

bool source_watcher::apply_change(const upstream_change& change, time_point now)
{
    auto& registry = this->config.state->upstreams;
    const auto before = this->unchanged_at();
    if (change.spec)
        record_directory_entry(*this->config.state, *change.spec, now);
    const bool has_changed = change.spec
                                 ? registry.set(*change.spec, now, before)
                                 : registry.remove(change.id, now, before);
    if (has_changed)
        log_event(log_level::info, "upstream_changed",
                  {{"upstream", change.id},
                   {"service", change.spec ? change.spec->service : ""},
                   {"state", !change.spec               ? "removed"
                             : change.spec->is_draining ? "draining"
                                                        : "ready"},
                   {"sequence",
                    std::to_string(change.spec ? change.spec->sequence : 0)},
                   {"epoch", std::to_string(this->known.epoch)},
                   {"revision", std::to_string(this->known.revision)}});
    return has_changed;
}

void source_watcher::adopt_evacuations(const routing_snapshot& snapshot,
                                       const source_position& before,
                                       const std::string& origin)
{
    this->are_evacuations_current =
        this->config.follows_evacuations && snapshot.evacuated.has_value();
    if (!this->are_evacuations_current)
        return;
    auto& evacuated = this->config.state->evacuated;
    const auto now = clock_now();
    if (snapshot.position.epoch != before.epoch || snapshot.position < before)
        evacuated.handle_restoration(now);
    this->has_learned_evacuations = true;
    this->report_evacuations(
        evacuated.replace_all(*snapshot.evacuated, origin, now), origin);
}

void source_watcher::apply_evacuations(
    const std::vector<evacuation_change>& changes, const std::string& origin)
{
    const auto now = clock_now();
    for (const auto& change : changes)
    {
        this->change_log.append(this->known.revision, change);
        this->report_evacuations(
            this->config.state->evacuated.set(change.failure_domain,
                                              change.is_evacuated, origin, now),
            origin);
    }
    this->has_new_changes = this->has_new_changes || !changes.empty();
}

void source_watcher::report_evacuations(
    const std::vector<evacuation_change>& changes, const std::string& origin)
{
    for (const auto& change : changes)
    {
        this->log_evacuation(change, origin);
        if (!change.is_evacuated)
            assume_cold(*this->config.state, change.failure_domain,
                        clock_now());
    }
    if (!changes.empty() && this->config.handle_evacuations)
        this->config.handle_evacuations(changes);
}

void source_watcher::log_evacuation(const evacuation_change& change,
                                    const std::string& origin) const
{
    const auto& evacuated = this->config.state->evacuated;
    const auto& upstreams = this->config.state->upstreams.all();
    const auto affected = std::ranges::count_if(
        upstreams, [&change](const auto& each)
        { return each.second->spec.failure_domain == change.failure_domain; });
    log_event(log_level::info,
              change.is_evacuated ? "evacuation_started" : "evacuation_ended",
              {{"failure_domain", change.failure_domain},
               {"origin", origin},
               {"epoch", std::to_string(this->known.epoch)},
               {"revision", std::to_string(this->known.revision)},
               {"upstreams", std::to_string(affected)}});
    if (!change.is_evacuated || upstreams.empty())
        return;
    if (affected == 0)
        log_event(log_level::warning, "evacuation_without_upstreams",
                  {{"failure_domain", change.failure_domain}});
    else if (std::ranges::all_of(upstreams,
                                 [&evacuated](const auto& each) {
                                     return evacuated.contains(
                                         each.second->spec.failure_domain);
                                 }))
        log_event(log_level::warning, "all_upstreams_evacuated",
                  {{"upstreams", std::to_string(upstreams.size())}});
}

void source_watcher::set_reachable(bool is_reachable, const std::string& reason)
{
    if (!is_reachable)
        this->is_contact_interrupted = true;
    if (is_reachable == this->has_reachable_source)
        return;
    this->has_reachable_source = is_reachable;
    if (is_reachable)
        log_event(log_level::info, "source_regained");
    else
        log_event(log_level::warning, "source_lost", {{"reason", reason}});
}

void source_watcher::arm_expiry()
{
    auto next = this->config.state->upstreams.next_expiry();
    const auto release = this->config.state->evacuated.next_expiry();
    if (release)
        next = std::min(*release, next.value_or(*release));
    if (!next)
        return;
    this->expiry_timer.expires_at(*next);
    this->expiry_timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (failure)
                return;
            const auto now = clock_now();
            if (this->config.state->upstreams.expire(now))
                this->publisher.publish(this->fleet);
            this->report_evacuations(this->config.state->evacuated.expire(now),
                                     "restoration");
            this->arm_expiry();
        });
}

}
