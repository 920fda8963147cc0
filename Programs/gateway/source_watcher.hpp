#ifndef WISTERIAHATCH_GATEWAY_SOURCE_WATCHER_HPP
#define WISTERIAHATCH_GATEWAY_SOURCE_WATCHER_HPP

#include "core/process/fleet_size_estimate.hpp"
#include "gateway_state.hpp"
#include "net/configuration_source.hpp"
#include "net/upstream_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace wisteriahatch
{

// How far an instance is up to date.
struct routing_position
{
    std::uint64_t revision = 0;
    // Version of the routes; 0 for none.
    std::uint64_t version = 0;
};

// Keeps the gateway's routes and upstreams equal to what its source holds.
// Runs on the gateway's worker.
class source_watcher
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        configuration_source* source = nullptr;
        // Another instance that watches the source for this one; its calls fail
        // when there is none. May be null.
        configuration_source* peer = nullptr;
        gateway_state* state = nullptr;
        upstream_pool* upstreams = nullptr;
        // Names this instance among its peers.
        std::string instance;
        std::string failure_domain;
    };

    // Longest wait of one watch. A watch whose answer was lost is noticed
    // after it, and a new version must be in force three seconds after it was
    // accepted.
    static constexpr std::chrono::milliseconds watch_wait{2500};
    // Pause after news, so that a burst of changes costs few calls.
    static constexpr std::chrono::milliseconds change_batch_interval{700};
    // Time between two questions to a peer.
    static constexpr std::chrono::milliseconds peer_poll_interval{400};
    // After a peer failed, the source itself is watched for this long.
    static constexpr std::chrono::seconds peer_failure_backoff{4};
    // Pauses after failed calls.
    static constexpr std::chrono::milliseconds min_retry_delay{100};
    static constexpr std::chrono::milliseconds max_retry_delay{800};

    // Connections to upstreams that are not home close after this long.
    static constexpr std::chrono::seconds outside_subset_idle_timeout{2};

    explicit source_watcher(options values);

    void start();
    // Takes a peer's routing when its revision is newer.
    void adopt_snapshot(const routing_snapshot& snapshot,
                        const std::string& peer);
    // What this instance knows, for its peers.
    routing_snapshot snapshot() const;
    // What has changed since another instance was up to date.
    routing_changes changes_since(const routing_position& known) const;
    // What this instance knows, as it tells the peer that it asks.
    routing_position position() const;
    // Revision of the source up to which changes are known.
    std::uint64_t known_revision() const;
    // False when the last call to the source failed.
    bool is_source_reachable() const;
    // Divides the connections to upstreams by this number of instances.
    void set_instance_count(std::size_t count);

private:
    // Puts a newer version in force; an older one changes nothing.
    void adopt(const route_table_ptr& routes, const std::string& origin);
    boost::asio::awaitable<void> run();
    // Brings this instance up to date by a peer. Returns whether that worked.
    boost::asio::awaitable<bool> ask_peer();
    // Reads everything, or what has changed. Returns whether that worked.
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> watch();
    void take(const routing_changes& changes, const std::string& origin);
    boost::asio::awaitable<void> pause(duration length);
    bool apply(const upstream_change& change, time_point now);
    void report_contact(bool is_heard, const std::string& reason);
    // Hands the upstreams to the pool.
    void publish_upstreams();
    // Decides anew to which upstreams this instance keeps connections.
    void choose_subset();
    void arm_expiry();

    options chosen;
    boost::asio::steady_timer pause_timer;
    boost::asio::steady_timer expiry_timer;
    std::uint64_t revision = 0;
    bool has_snapshot = false;
    bool has_contact = false;
    bool had_news = false;
    // Until then no peer is asked.
    time_point peer_doubted_until{};
    routing_change_log log;
    // Instances that share the upstreams' connections.
    std::size_t instances = fleet_size_estimate::initial_instances;
};

}

#endif
