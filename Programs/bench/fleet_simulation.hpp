#ifndef WISTERIAHATCH_BENCH_FLEET_SIMULATION_HPP
#define WISTERIAHATCH_BENCH_FLEET_SIMULATION_HPP

#include "core/base/time.hpp"
#include "core/process/document_store.hpp"
#include "core/process/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// Control traffic of the whole fleet since the last reset.
struct control_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    // Bytes of document fetches, included in `bytes`.
    std::uint64_t fetch_bytes = 0;
    // Largest number of bytes sent by any node.
    std::uint64_t max_sent_bytes = 0;
};

// Whether members still relay the records that they start with.
enum class initial_records : std::uint8_t
{
    // Recent updates, which each member still relays.
    recent,
    // Older records, which are no longer relayed.
    settled,
};

// Simulates the membership and document stores of many instances in one
// process. Messages are delivered after a fixed latency in virtual time.
class fleet_simulation
{
public:
    // One-way latency between failure domains, from docs/design.md.
    static constexpr std::chrono::microseconds latency{500};

    // Every instance starts with the records of all others and no document.
    fleet_simulation(std::size_t members, std::uint64_t seed,
                     initial_records initial = initial_records::recent);
    ~fleet_simulation();

    // Runs the events of the next `span` of virtual time.
    void run_for(duration span);
    // Gives the text to `receivers` random instances, as if they had read it
    // from the configuration service, and runs until every instance has it or
    // `limit` has passed. Returns the times that instances took to get it, in
    // ascending order, without those that did not get it.
    std::vector<duration> publish(const std::string& text,
                                  std::size_t receivers, duration limit);
    // Replaces a random instance by one with the same address and an empty
    // member table.
    void restart_random_node();
    // Returns the number of instances that share the most common digest of the
    // member table.
    std::size_t largest_agreeing_group() const;

    control_traffic traffic() const;
    void reset_traffic();

private:
    struct node;
    struct event;

    void schedule(time_point due, std::function<void()> action);
    void schedule_timer(std::size_t index);
    void send(std::size_t from, const membership::exchange& exchange);
    void deliver(std::size_t from, std::size_t to,
                 const gossip_message& message);
    void handle_peer_key(std::size_t index, const std::string& peer,
                         const document_key& key);
    void perform_actions(std::size_t index,
                         const std::vector<document_action>& actions);
    void fetch(std::size_t from, const fetch_document& action);
    void count(std::size_t from, std::size_t bytes);
    std::size_t index_of(const std::string& address) const;
    std::unique_ptr<node> make_node(std::size_t index, std::uint64_t epoch);

    std::mt19937_64 random;
    time_point now;
    std::uint64_t events_scheduled = 0;
    // The queue's top is const, so events are copied out of it; std::function
    // keeps their actions copyable.
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<std::unique_ptr<node>> nodes;
    document_store::checker check;
    control_traffic total_traffic;
};

}

#endif
