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

// Gossip membership: keeps this instance's view of the fleet up to date by
// exchanging records with random members. Does no I/O and reads no clock; owned
// by the control thread.
class membership
{
public:
    struct options
    {
        // Address, failure domain and incarnation of this instance. The epoch
        // is the wall-clock time at start in milliseconds.
        member_record self;
        // Peer addresses from the settings file, contacted like hints.
        std::vector<std::string> seeds;
        // Time between gossip rounds in a fleet of up to 100 members. Larger
        // fleets use a longer interval to keep control traffic below 2 KB/s.
        std::chrono::milliseconds gossip_interval{1000};
        member_table::options table;
    };

    // A gossip.exchange call that the caller sends to `address`. The caller
    // reports the result to handle_reply or handle_no_answer.
    struct exchange
    {
        std::string address;
        gossip_message message;
    };

    // `seed` makes the random choice of members reproducible.
    membership(options opts, std::uint64_t seed);

    // Returns the first exchanges: one with each of up to three seeds.
    std::vector<exchange> start(time_point now);
    // Returns the exchanges that are due. Also marks suspects dead whose
    // time-out has passed and removes expired tombstones.
    std::vector<exchange> handle_timer(time_point now);
    // Returns when handle_timer must be called next.
    time_point next_timer() const;
    // Returns an exchange with this address, as a joining instance needs to
    // learn a peer's document key.
    exchange make_exchange(const std::string& address);
    // Merges the records of a member's request and returns the reply.
    gossip_message handle_exchange(const gossip_message& request,
                                   time_point now);
    // Merges the records of a member's reply. Returns a follow-up exchange with
    // the same member if the tables still differ.
    std::optional<exchange> handle_reply(const std::string& address,
                                         const gossip_message& reply,
                                         time_point now);
    // Handles a member that did not answer an exchange in time; it becomes
    // suspect if it was alive.
    void handle_no_answer(const std::string& address, time_point now);
    // Replaces the addresses on the platform's instance list. They are
    // contacted from time to time; the list removes no member.
    void set_hints(std::vector<std::string> addresses);
    // Announces the key of a newly accepted document, starting with an
    // immediate round.
    void set_document_key(const document_key& key, time_point now);
    // Announces that this instance stops accepting work.
    void set_leaving(time_point now);
    // Restarts the time-outs of suspects after this process was paused, because
    // no answer could be received during the pause.
    void handle_pause(time_point now);

    const member_table& members() const;

private:
    gossip_message compose(const std::string& receiver);
    void add_bucket(gossip_message& message, unsigned bucket) const;
    // Merges the sender and the records of a message into the table. A message
    // with several unknown members starts a round at the short interval: the
    // table is far from complete, as after a start of the whole fleet.
    void merge(const gossip_message& message, time_point now);
    std::optional<std::string> choose_target();
    duration round_interval() const;

    options config;
    std::mt19937_64 random;
    member_table table;
    std::vector<std::string> hints;
    std::uint64_t rounds = 0;
    // Remaining rounds at the short interval that follows a change.
    unsigned fast_rounds_left = 0;
    time_point next_round;
};

}

#endif
