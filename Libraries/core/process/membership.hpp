#ifndef WISTERIAHATCH_CORE_PROCESS_MEMBERSHIP_HPP
#define WISTERIAHATCH_CORE_PROCESS_MEMBERSHIP_HPP

#include "core/base/time.hpp"
#include "core/process/gossip_message.hpp"
#include "core/process/member_table.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wisteriahatch
{

// The members of the fleet as this instance knows them, kept by exchanges with
// random members. No I/O and no clock; the control thread owns it.
class membership
{
public:
    struct options
    {
        // Address, failure domain and incarnation of this instance, with the
        // wall clock's milliseconds at start as epoch.
        member_record self;
        // Peer addresses from the settings file, tried like hints.
        std::vector<std::string> seeds;
        // Time between two exchanges in a fleet of up to 100 members; longer
        // in larger ones, so that control stays below 2 KB/s.
        std::chrono::milliseconds gossip_interval{1000};
        member_table::options table;
    };

    // Send `message` to `address` by gossip.exchange, then call handle_reply
    // or handle_no_answer.
    struct exchange
    {
        std::string address;
        gossip_message message;
    };

    // `seed` makes the choice of members repeatable.
    membership(options values, std::uint64_t seed);

    // Returns the first exchanges: one with each of up to three seeds.
    std::vector<exchange> start(time_point now);
    // Returns the exchanges that are due and moves suspects to dead.
    std::vector<exchange> handle_timer(time_point now);
    // When handle_timer has something to do next.
    time_point next_timer() const;
    // Returns an exchange with this address, as for a joining question.
    exchange make_exchange(const std::string& address);
    // Takes a member's exchange and returns the reply.
    gossip_message handle_exchange(const gossip_message& request,
                                   time_point now);
    // Takes the reply of a member; returns a follow-up exchange with the same
    // member when the tables still differ.
    std::optional<exchange> handle_reply(const std::string& address,
                                         const gossip_message& reply,
                                         time_point now);
    // The member did not answer an exchange in time.
    void handle_no_answer(const std::string& address, time_point now);
    // Replaces the platform's addresses: each is tried, none is removed.
    void set_hints(std::vector<std::string> addresses);
    // Announces a newly accepted document in the next exchanges, which follow
    // at once.
    void set_document_key(const document_key& key, time_point now);
    // Announces that this instance stops taking work.
    void set_leaving(time_point now);
    // Restarts suspicions after a pause of this process: the others had no
    // chance to answer.
    void handle_pause(time_point now);

    // The table as this instance knows it.
    const member_table& members() const;

private:
    gossip_message compose(const std::string& receiver);
    void add_bucket(gossip_message& message, unsigned bucket) const;
    // Takes the sender and records of a message.
    void merge(const gossip_message& message, time_point now);
    std::optional<std::string> choose_target();
    duration round_interval() const;

    options chosen;
    std::mt19937_64 random;
    member_table table;
    std::vector<std::string> hints;
    std::uint64_t rounds = 0;
    // Exchanges that still follow at short intervals after news.
    unsigned urgent = 0;
    time_point next_round;
};

}

#endif
