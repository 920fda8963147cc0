#ifndef WISTERIAHATCH_GATEWAY_PEER_EXCHANGE_HPP
#define WISTERIAHATCH_GATEWAY_PEER_EXCHANGE_HPP

#include "core/process/fleet_size_estimate.hpp"
#include "core/process/membership.hpp"
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

// Keeps the members of the fleet by gossip, and takes over the routing of a
// peer that knows a newer revision while this instance can't hear the source.
// Runs on the gateway's worker.
class peer_exchange
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        gateway_state* state = nullptr;
        source_watcher* watcher = nullptr;
        membership::options membership_options;
        // Called with the number of instances that share what all may use,
        // when it has changed.
        std::function<void(std::size_t instances)> handle_instance_count;
    };

    // A source that was silent for this long is helped out by peers.
    static constexpr std::chrono::milliseconds source_silence_timeout{700};
    // Time between two snapshots taken from peers.
    static constexpr std::chrono::milliseconds snapshot_interval{500};

    explicit peer_exchange(options values);

    // Starts the exchanges.
    void start();
    // Waits for calls to peers. Call before the worker stops.
    void stop();
    // Calls a method of another instance; see peer_client.
    boost::asio::awaitable<result<std::string>>
    call(std::string address, std::string method, std::string parameters);
    // The instance of the own failure domain that watches the source for the
    // others: the live one with the lowest address. Empty when it is this one,
    // or when this one may not yet have seen the others.
    std::string reader_address() const;
    // Members that are alive or suspect, this instance included.
    std::size_t live_members() const;
    // Announces that this instance is about to end.
    void set_leaving();
    // The process stood still: the others had no chance to answer.
    void handle_pause();
    // Answers a JSON-RPC message of another instance.
    std::string handle_message(const std::string& message);

private:
    std::string answer_gossip(const std::string& parameters);
    std::string answer_changes(const std::string& parameters);
    void exchange(const membership::exchange& next);
    void handle_answer(const std::string& address,
                       const result<std::string>& answer);
    // Fetches the peer's routing when it is newer and needed.
    void consider(const member_record& peer);
    void adopt(const std::string& address, const result<std::string>& answer);
    boost::asio::awaitable<void> run_timer();

    options chosen;
    membership members;
    peer_client peers;
    rpc_server methods;
    time_point last_snapshot{};
    fleet_size_estimate share;
};

}

#endif
