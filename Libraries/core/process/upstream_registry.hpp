#ifndef WISTERIAHATCH_CORE_PROCESS_UPSTREAM_REGISTRY_HPP
#define WISTERIAHATCH_CORE_PROCESS_UPSTREAM_REGISTRY_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/connection/upstream_state.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// An upstream as the directory lists it.
struct upstream_spec
{
    std::string id;
    std::string service;
    // "IP:port".
    std::string address;
    std::string failure_domain;
    // Requests that the upstream processes concurrently.
    unsigned slots = 1;
    // The upstream asked to get no new requests.
    bool is_draining = false;
    // Remaining time in which the upstream is slow after its start.
    std::chrono::milliseconds warm_up_left{0};
    // Identifies this start of the upstream; differs between starts with the
    // same id.
    incarnation start;
    // Rises with each statement of this start about itself; 0 when unknown.
    std::uint64_t sequence = 0;

    friend bool operator==(const upstream_spec&,
                           const upstream_spec&) = default;
};

// An upstream that may get requests, and this process's observations of it.
struct registered_upstream
{
    upstream_spec spec;
    std::shared_ptr<upstream_state> state;
    // When the directory marked the upstream as draining or removed it, at the
    // earliest. Once that is known it is used only while its service has no
    // better one, until the registry's grace period has passed.
    std::optional<time_point> leaving_since;
};

using registered_upstream_ptr = std::shared_ptr<const registered_upstream>;
using upstream_group = std::vector<registered_upstream_ptr>;

// The upstreams of all services, updated from a watched directory. An entry
// that disappears is kept for a grace period, because entries expire during an
// outage of the directory and reappear soon after it recovers. An entry that is
// older than what was known when the upstream left, as in a directory that was
// restored from a copy, is held back for some time. Not thread-safe.
class upstream_registry
{
public:
    // Grace period of an upstream that leaves, until set_leaving_grace() sets
    // another one. Expired entries reappear two seconds after the directory
    // recovers.
    static constexpr std::chrono::milliseconds leaving_grace{2000};
    // How long an outdated entry of an upstream that has left is held back. An
    // upstream that is leaving states that again, and the entry of one that has
    // stopped expires, within three intervals of its statements.
    static constexpr std::chrono::milliseconds hold_time{6000};
    // How long it is remembered that an upstream has left.
    static constexpr std::chrono::minutes departure_memory{5};

    // Sets the grace period of upstreams that leave from now on or have left
    // already, by the directory or by their own signal.
    void set_leaving_grace(duration value);

    // set(), remove(), replace_all() and expire() return whether the upstreams
    // changed. An unknown upstream that is draining is ignored. `unchanged_at`
    // is the last time at which the directory is known to have held the
    // previous entries, from which the grace period of an upstream that leaves
    // is counted; the default is `now`.
    bool set(const upstream_spec& spec, time_point now,
             std::optional<time_point> unchanged_at = {});
    bool remove(std::string_view id, time_point now,
                std::optional<time_point> unchanged_at = {});
    // Applies a complete list; upstreams that it lacks are removed.
    bool replace_all(const std::vector<upstream_spec>& specs, time_point now,
                     std::optional<time_point> unchanged_at = {});
    // Drops the upstreams whose grace period has passed, and adds the held ones
    // whose time is over.
    bool expire(time_point now);

    // When to call expire() next.
    std::optional<time_point> next_expiry() const;
    // Returns the upstreams of a service; empty for an unknown one.
    const upstream_group& group(std::string_view service) const;
    // The upstreams by service; services without upstreams are absent.
    const std::map<std::string, upstream_group, std::less<>>&
    by_service() const;
    // The upstreams that the directory lists now, without removed ones. Other
    // instances decide for themselves which of them are outdated.
    std::vector<upstream_spec> listed() const;
    // Returns the last start of the upstream that is known, also for some time
    // after it has left.
    std::optional<incarnation> known_start(std::string_view id) const;
    // Number of upstreams that are held back.
    std::size_t held() const;
    // All upstreams by id, including leaving ones.
    const std::map<std::string, registered_upstream_ptr, std::less<>>&
    all() const;

private:
    // The last statement of an upstream that has left.
    struct departure
    {
        incarnation start;
        std::uint64_t sequence = 0;
        time_point left_at;
    };

    // The state of an upstream that was dropped after it had said in a reply
    // that it leaves or wants a pause.
    struct dropped_upstream
    {
        upstream_spec spec;
        std::shared_ptr<upstream_state> state;
        time_point dropped_at;
    };

    struct held_upstream
    {
        upstream_spec spec;
        time_point usable_at;
    };

    // True when the entry is older than the upstream's own statement that was
    // known when it left.
    bool is_outdated(const upstream_spec& spec) const;
    bool add(const upstream_spec& spec, time_point now,
             time_point unchanged_at);
    // Adds the held upstreams whose time is over; returns whether there were
    // any.
    bool release_held(time_point now);
    // Returns the state of the same start of the upstream, if it is known or
    // was dropped; otherwise a new one.
    std::shared_ptr<upstream_state> state_for(const upstream_spec& spec,
                                              time_point now) const;
    void remember_signals(const registered_upstream& entry, time_point now);
    void record_departure(const upstream_spec& spec, time_point now);
    void put(const std::shared_ptr<registered_upstream>& entry);
    void drop(const registered_upstream& entry);

    duration grace = leaving_grace;
    std::map<std::string, registered_upstream_ptr, std::less<>> upstreams;
    std::map<std::string, upstream_group, std::less<>> groups;
    std::map<std::string, departure, std::less<>> departures;
    std::map<std::string, held_upstream, std::less<>> held_back;
    std::map<std::string, dropped_upstream, std::less<>> dropped;
};

}

#endif
