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
    // A recent change, which is relayed to other members.
    update,
    // Anti-entropy exchange of a bucket. Not relayed: a joining instance
    // receives the whole table this way, and relaying it kept messages full
    // for hours in a fleet of 5,000.
    repair,
};

// The records of all members, including this instance. Decides which of two
// records takes precedence and when suspects are marked dead.
class member_table
{
public:
    struct options
    {
        // A suspect is marked dead after this time, multiplied by log10(size)
        // in fleets of more than 10 members.
        std::chrono::milliseconds suspicion_timeout{5000};
        // Dead records are kept this long, so that a delayed update about the
        // dead incarnation does not add it as a new member.
        std::chrono::minutes tombstone_retention{10};
        // New addresses are ignored once the table holds this many records;
        // four times the largest planned fleet.
        std::size_t max_members = 20000;
    };

    member_table(member_record self, options opts);

    // Merges a record received from another instance.
    void merge(const member_record& record, record_origin origin,
               time_point now);
    // Merges the record that a member sent about itself.
    void merge_sender(const member_record& sender, time_point now);
    // Handles a member that did not answer: an alive member becomes suspect, a
    // leaving one is marked dead after the suspicion time-out.
    void suspect(const std::string& address, time_point now);
    // Marks members dead whose time-out has passed and removes expired
    // tombstones.
    void expire(time_point now);
    // Restarts the time-out of every suspect and cancels that of leaving
    // members.
    void restart_suspicions(time_point now);
    void set_document(const document_key& key);
    void set_leaving();

    const member_record& self() const;
    // Returns the record, which may be dead, or nullptr.
    const member_record* find(const std::string& address) const;
    // Returns all records that are not dead.
    std::vector<member_record> members() const;
    std::vector<std::string> dead_addresses() const;
    // Returns the sorted addresses of alive and suspect members, including this
    // instance unless it is leaving.
    std::vector<std::string> live_addresses() const;
    // Returns the number of members that are not dead.
    std::size_t size() const;
    // Returns for each address bucket the sum of the hashes of its records that
    // are not dead.
    bucket_digests buckets() const;
    // Returns the sum of the bucket digests.
    std::uint64_t digest() const;
    std::uint64_t generation() const;
    // Returns up to `max_records` records that are still to be relayed, least
    // often sent first, and counts them as sent. Omits the records of this
    // instance and the receiver.
    std::vector<member_record> take_updates(const std::string& receiver,
                                            std::size_t max_records,
                                            std::mt19937_64& random);
    // Returns up to `max_records` records of the bucket, including dead ones.
    std::vector<member_record> bucket_records(unsigned bucket,
                                              std::size_t max_records) const;

private:
    struct entry
    {
        member_record record;
        // Messages that carried this record since it last changed.
        unsigned times_sent = 0;
        // When an unresponsive member is marked dead, or a tombstone removed.
        time_point expires_at;
    };

    // Replaces a record and resets its send count and expiry time.
    void replace(entry& known, const member_record& record,
                 record_origin origin, time_point now);
    // Returns the number of messages in which a changed record is relayed.
    unsigned send_limit() const;
    duration suspicion_time() const;

    options config;
    // Keyed by address.
    std::map<std::string, entry> entries;
    std::string own_address;
    std::uint64_t changes = 0;
};

}

#endif
