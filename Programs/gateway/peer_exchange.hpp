#ifndef WISTERIAHATCH_GATEWAY_PEER_EXCHANGE_HPP
#define WISTERIAHATCH_GATEWAY_PEER_EXCHANGE_HPP

#include "core/process/fleet_size_estimate.hpp"
#include "core/process/membership.hpp"
#include "core/process/reader_selection.hpp"
#include "core/process/version_lag.hpp"
#include "gateway_state.hpp"
#include "net/http_server.hpp"
#include "peers/peer_client.hpp"
#include "rpc/peer_rpc.hpp"
#include "source_watcher.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace wisteriahatch
{

// Tracks the members of the fleet by gossip, and adopts the routing of a peer
// that knows a newer revision while this instance can't reach the source. Runs
// on the gateway's worker.
class peer_exchange
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        gateway_state* state = nullptr;
        source_watcher* watcher = nullptr;
        membership::options membership_options;
        // Called when the estimate has changed of how many instances share
        // connections and repeats.
        std::function<void(const fleet_size&)> handle_fleet_size;
        // Called when a peer's report has changed what is known of an
        // upstream's rate limit.
        std::function<void(const rate_limit_report&)> handle_rate_limit;
    };

    // Routing is fetched from peers when the source has not answered for this
    // long.
    static constexpr std::chrono::milliseconds source_silence_timeout{700};
    // Shortest time between two fetches of a snapshot from peers.
    static constexpr std::chrono::milliseconds snapshot_interval{500};
    // Time between two updates of the instances that share rate limits, each of
    // which leads to a new choice of those with a share.
    static constexpr std::chrono::milliseconds rate_limit_fleet_interval{1000};

    // Instances to which the news of a cold upstream is sent, and the shortest
    // time between two rounds of such messages.
    static constexpr std::size_t announcement_targets = 4;
    static constexpr std::chrono::milliseconds announcement_interval{50};

    explicit peer_exchange(options opts);

    // Starts the gossip.
    void start();
    // Waits for running calls to peers. Must be called before the worker stops.
    void stop();
    // Calls a method of another instance; see peer_client.
    boost::asio::awaitable<result<std::string>>
    call(std::string address, std::string method, std::string parameters);
    // Returns the address of the instance that watches the source for this
    // failure domain; see reader_selection. Empty when it is this instance, as
    // far as this instance knows the others.
    std::string reader_address() const;
    // Records that a reader did not answer or could not reach the source.
    void record_reader_failure(const std::string& reader);
    // Members that are alive or suspect, this instance included.
    std::size_t live_members() const;
    // Announces that this instance is shutting down.
    void set_leaving();
    // Restarts the suspicion time-outs after a pause of this process, in which
    // the others had no chance to answer.
    void handle_pause();
    // Tells some other instances at once of cold periods that were learned.
    // They pass them on in the same way, because those who have not heard of
    // one send without a limit.
    void announce_cold_upstreams();
    // Returns the reply to a JSON-RPC message of another instance.
    std::string handle_message(const std::string& message);

private:
    // Adds this instance's routing position and what it knows of rate limits to
    // a message.
    gossip_message with_gateway_state(gossip_message message);
    void send_announcements();
    void merge_rate_limits(const gossip_message& message);
    // Tells the rate limits which instances share them.
    void update_rate_limit_fleet();
    std::string answer_gossip(const std::string& parameters);
    std::string answer_changes(const std::string& parameters);
    void exchange(const membership::exchange& next);
    void handle_answer(const std::string& address,
                       const result<std::string>& answer);
    // Fetches the sender's snapshot if it is later and the source does not
    // answer, or if the sender has had newer routes for some time.
    void fetch_if_newer(const gossip_message& message);
    void adopt(const std::string& address, const result<std::string>& answer);
    boost::asio::awaitable<void> run_timer();

    options config;
    membership members;
    peer_client peers;
    rpc_server methods;
    time_point last_snapshot{};
    fleet_size_estimate fleet;
    time_point next_fleet_update{};
    reader_selection readers;
    version_lag route_lag;
    boost::asio::steady_timer announcement_timer;
    bool is_announcement_due = false;
    time_point last_announcement{};
};

}

#endif
