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

// Control messages of a whole fleet since they were last reset.
struct control_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t fetch_bytes = 0;
    // Largest number of bytes that one node sent.
    std::uint64_t most_sent = 0;
};

// What the members think of the records they start with.
enum class initial_records : std::uint8_t
{
    // Recent news that each member still relays.
    news,
    // Known for long and no longer relayed.
    settled,
};

// Membership and document stores of many instances in one process, joined by
// messages that are delivered after a fixed latency in virtual time.
class fleet_simulation
{
public:
    // One-way latency between failure domains, from docs/design.md.
    static constexpr std::chrono::microseconds latency{500};

    // Every instance knows every other one and has no document.
    fleet_simulation(std::size_t members, std::uint64_t seed,
                     initial_records initial = initial_records::news);
    ~fleet_simulation();

    // Delivers what is due until `span` has passed.
    void run_for(duration span);
    // Gives the text to instances chosen at random, as if they had read it
    // from the configuration service, and runs until every instance has it or
    // `limit` has passed. Returns the time when each instance had it; those
    // that did not get it are left out.
    std::vector<duration> publish(const std::string& text,
                                  std::size_t receivers, duration limit);
    // Replaces an instance chosen at random by one with the same address and
    // an empty table.
    void restart_one();
    // Instances whose table digest is that of the most frequent one.
    std::size_t largest_agreement() const;

    control_traffic traffic() const;
    void reset_traffic();

private:
    struct node;
    struct event;

    void schedule(time_point at, std::function<void()> action);
    void schedule_timer(std::size_t at);
    void send(std::size_t from, const membership::exchange& exchange);
    void deliver(std::size_t from, std::size_t to,
                 const gossip_message& message);
    void take_key(std::size_t at, const std::string& peer,
                  const document_key& key);
    void perform(std::size_t at, const std::vector<document_action>& actions);
    void fetch(std::size_t from, const fetch_document& action);
    void count(std::size_t from, std::size_t bytes);
    std::size_t index_of(const std::string& address) const;
    std::unique_ptr<node> make_node(std::size_t at, std::uint64_t epoch);

    std::mt19937_64 random;
    time_point now;
    std::uint64_t events_scheduled = 0;
    // std::function's target must be copyable out of the queue's const top.
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<std::unique_ptr<node>> nodes;
    document_store::checker check;
    control_traffic counted;
};

}

#endif
