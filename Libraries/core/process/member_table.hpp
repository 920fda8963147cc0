#ifndef WISTERIAHATCH_CORE_PROCESS_MEMBER_TABLE_HPP
#define WISTERIAHATCH_CORE_PROCESS_MEMBER_TABLE_HPP

#include "core/base/time.hpp"
#include "core/process/gossip_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace wisteriahatch
{

// How a record reached this instance.
enum class record_origin : std::uint8_t
{
    // Recent news, which is relayed further.
    update,
    // The repair of a bucket. Not relayed: a joining instance learns the whole
    // table so, and in a fleet of 5,000 relaying it kept messages full for
    // hours.
    repair,
};

// The records of all members, this instance's included, with the rules by
// which one record replaces another and suspects become dead.
class member_table
{
public:
    struct options
    {
        // A suspect is dead after this time x log10(size), at least once this.
        std::chrono::milliseconds suspicion_timeout{5000};
        // Dead records are kept this long, so that late news of the dead
        // incarnation is not taken as a new member.
        std::chrono::minutes tombstone_retention{10};
        // Records beyond this number are ignored; four times the largest
        // fleet planned.
        std::size_t max_members = 20000;
    };

    member_table(member_record self, options values);

    // Takes what another instance says of a member.
    void merge(const member_record& record, record_origin origin,
               time_point now);
    // Takes the record that a member sent of itself.
    void merge_sender(const member_record& sender, time_point now);
    // The member did not answer.
    void suspect(const std::string& address, time_point now);
    // Moves suspects to dead and forgets old tombstones.
    void expire(time_point now);
    // Gives every suspect its full time again.
    void restart_suspicions(time_point now);
    void set_document(const document_key& key);
    void set_leaving();

    const member_record& self() const;
    // Returns the record, or nullptr; dead ones are found too.
    const member_record* find(const std::string& address) const;
    // Every record but the dead.
    std::vector<member_record> members() const;
    // Addresses of the dead.
    std::vector<std::string> dead_addresses() const;
    // Addresses of the members that are alive or suspect, sorted, this
    // instance's included unless it is leaving.
    std::vector<std::string> live_addresses() const;
    // Members that are not dead.
    std::size_t size() const;
    // Sums of the hashes of all records but the dead, by bucket of addresses.
    bucket_digests buckets() const;
    // Sum of the buckets.
    std::uint64_t digest() const;
    std::uint64_t generation() const;
    // Returns up to `room` records, those that were sent least often first,
    // and counts them as sent. Leaves out this instance's and the receiver's.
    std::vector<member_record> take_updates(const std::string& receiver,
                                            std::size_t room,
                                            std::mt19937_64& random);
    // Returns up to `room` records of the bucket, the dead included.
    std::vector<member_record> bucket_records(unsigned bucket,
                                              std::size_t room) const;

private:
    struct entry
    {
        member_record record;
        // Messages that carried this record since it last changed.
        unsigned times_sent = 0;
        // When a silent member is taken as dead, or a tombstone forgotten.
        time_point until;
    };

    // Replaces a record and sets what follows from its state.
    void replace(entry& known, const member_record& record,
                 record_origin origin, time_point now);
    // Messages that carry a record before it is no longer news.
    unsigned news_limit() const;
    duration suspicion_time() const;

    options chosen;
    // Keyed by address.
    std::map<std::string, entry> entries;
    std::string own_address;
    std::uint64_t changes = 0;
};

}

#endif
