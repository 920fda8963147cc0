#ifndef WISTERIAHATCH_GATEWAY_SOURCE_WATCHER_HPP
#define WISTERIAHATCH_GATEWAY_SOURCE_WATCHER_HPP

#include "core/process/fleet_size_estimate.hpp"
#include "gateway_state.hpp"
#include "net/configuration_source.hpp"
#include "net/upstream_pool.hpp"
#include "upstream_publisher.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Keeps the gateway's routes and upstreams in sync with its configuration
// source. Runs on the gateway's worker.
class source_watcher
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        configuration_source* source = nullptr;
        // Asks the instance that watches the source for this failure domain;
        // calls fail while there is none. May be null.
        configuration_source* peer = nullptr;
        gateway_state* state = nullptr;
        upstream_pool* upstreams = nullptr;
        // Unique name of this instance, from which its upstream subset is
        // chosen.
        std::string instance;
        std::string failure_domain;
        // Connections that all upstreams together may have.
        std::size_t max_upstream_connections = SIZE_MAX;
        // Whether evacuations of failure domains are followed. The source and
        // the peer have to read them.
        bool follows_evacuations = false;
        // Called after the state's evacuations have changed. May be empty.
        std::function<void(const std::vector<evacuation_change>&)>
            handle_evacuations;
    };

    // Longest wait of one watch call. A partition from the source is noticed
    // only after this time.
    static constexpr std::chrono::milliseconds watch_wait{1000};
    // Shortest time between the starts of two watch calls of which the first
    // brought changes, so that a burst of changes takes few calls.
    static constexpr std::chrono::milliseconds change_batch_interval{700};
    // A reader's changes are not used when the source has not confirmed them
    // for longer than this. It exceeds `watch_wait`, for which a reader hears
    // nothing when nothing changes. Together with `peer_poll_interval` and a
    // call to a successor that doesn't answer it leaves half a second of the
    // three seconds in which a change must take effect.
    static constexpr std::chrono::milliseconds max_reader_age{1600};
    // Time between two requests to a peer.
    static constexpr std::chrono::milliseconds peer_poll_interval{400};
    // Failed calls to the source are retried with exponential backoff between
    // these delays.
    static constexpr std::chrono::milliseconds min_retry_delay{100};
    static constexpr std::chrono::milliseconds max_retry_delay{800};

    explicit source_watcher(options opts);

    void start();
    // Adopts a peer's upstreams if its position is later, and its routes if
    // their version is newer.
    void adopt_snapshot(const routing_snapshot& snapshot,
                        const std::string& peer);
    // Returns the routes and upstreams that are known now.
    routing_snapshot snapshot() const;
    // Returns the changes that an instance at this position lacks. There is a
    // gap in them when the position is of another epoch.
    routing_changes changes_since(const routing_position& other) const;
    bool follows_evacuations() const;
    // True once the evacuations have been learned, and where they are not
    // followed. Until then requests may be sent to an evacuated domain.
    bool has_evacuations() const;
    // Returns how current the routes and upstreams are.
    routing_position position() const;
    // True when the latest call to the source succeeded, or a peer has answered
    // since.
    bool is_source_reachable() const;
    // Returns when the source, or a peer that was asked in its place, last
    // answered.
    time_point last_answer() const;
    // Records that this process was paused: what the source confirmed before
    // is older than the steady clock tells.
    void handle_pause(duration length);
    // Divides the connections to upstreams among the instances of the fleet.
    void set_fleet_size(const fleet_size& size);

private:
    // Adopts the routes if their version is newer.
    void adopt_routes(const route_table_ptr& routes, const std::string& origin);
    boost::asio::awaitable<void> run();
    // Applies the changes that a peer knows. Returns false when there is no
    // peer to ask or none of those asked could answer.
    boost::asio::awaitable<bool> ask_peer();
    // Adopts the snapshot of a peer whose changes have a gap. Returns whether
    // it was later than what is known.
    boost::asio::awaitable<bool> read_peer();
    // True when the changes, which were asked for from a position, do not
    // continue what is known.
    bool has_gap(const routing_changes& changes,
                 const source_position& asked_from) const;
    // Each of these calls the source, for a snapshot or for changes. Returns
    // whether the call succeeded.
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> watch();
    void apply_changes(const routing_changes& changes,
                       const std::string& origin);
    // Records that the source confirmed at this time, or later, what is known.
    void record_contact(time_point confirmed);
    // Returns when the source is last known to have held what is known here;
    // see upstream_registry. After an outage of the source this is now: entries
    // expired in it, and those of upstreams that still run reappear soon.
    time_point unchanged_at() const;
    boost::asio::awaitable<void> pause(duration length);
    // Applies a complete list of upstreams.
    void replace_upstreams(const std::vector<upstream_spec>& specs);
    // Returns whether the set of upstreams has changed.
    bool apply_change(const upstream_change& change, time_point now);
    // Applies the evacuations of a snapshot that was adopted when `before` was
    // known.
    void adopt_evacuations(const routing_snapshot& snapshot,
                           const source_position& before,
                           const std::string& origin);
    void apply_evacuations(const std::vector<evacuation_change>& changes,
                           const std::string& origin);
    // Logs the changes that were made, and passes them on.
    void report_evacuations(const std::vector<evacuation_change>& changes,
                            const std::string& origin);
    void log_evacuation(const evacuation_change& change,
                        const std::string& origin) const;
    // Logs when the source becomes reachable or unreachable.
    void set_reachable(bool is_reachable, const std::string& reason);
    void arm_expiry();

    options config;
    boost::asio::steady_timer pause_timer;
    boost::asio::steady_timer expiry_timer;
    // The state of the source up to which changes are known.
    source_position known;
    bool has_snapshot = false;
    bool has_reachable_source = false;
    bool has_new_changes = false;
    bool has_learned_evacuations = false;
    // False while the evacuations are not those at the known position.
    bool are_evacuations_current = false;
    time_point answered_at{};
    // True when a call to the source has failed since the last contact.
    bool is_contact_interrupted = true;
    routing_change_log change_log;
    // Instances that share the upstreams' connections.
    fleet_size fleet;
    upstream_publisher publisher;
};

}

#endif
