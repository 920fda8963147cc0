#ifndef WISTERIAHATCH_CORE_PROCESS_GOSSIP_MESSAGE_HPP
#define WISTERIAHATCH_CORE_PROCESS_GOSSIP_MESSAGE_HPP

#include "core/base/ids.hpp"
#include "core/version/document.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahatch
{

// State of a member. Of two records with the same epoch the greater state
// takes precedence.
enum class member_state : std::uint8_t
{
    alive,
    suspect,
    leaving,
    dead,
};

// What is known about one member.
struct member_record
{
    // Peer address, "IP:port".
    std::string address;
    std::string failure_domain;
    incarnation nonce;
    // Milliseconds of the wall clock at start, raised above any epoch seen
    // for the same address and raised again to refute a suspicion.
    std::uint64_t epoch = 0;
    member_state state = member_state::alive;
    // Document in force at the member. Known from its own messages only and
    // not relayed: a change would otherwise make every record news.
    document_key document;

    friend bool operator==(const member_record&,
                           const member_record&) = default;
};

// True when `record` replaces `known` for the same address: by epoch, then
// state, then nonce.
bool takes_precedence(const member_record& record, const member_record& known);

// Records are compared in this many groups when tables differ.
inline constexpr unsigned bucket_count = 64;
using bucket_digests = std::array<std::uint64_t, bucket_count>;

// Returns the bucket of an address.
unsigned bucket_of(const std::string& address);

// Most records of recent news in one message.
inline constexpr std::size_t max_update_records = 12;
// Most records in one message. A bucket of the largest fleet planned holds 77
// on average.
inline constexpr std::size_t max_message_records = 256;
// Highest epoch that is accepted: JSON numbers are exact up to 2^53, and the
// rest leaves room for refutations.
inline constexpr std::uint64_t max_epoch = 1ULL << 52;

// Request and reply of gossip.exchange.
struct gossip_message
{
    member_record sender;
    std::uint64_t table_digest = 0;
    // Recent news, or the records of `bucket`.
    std::vector<member_record> records;
    // Set when `records` holds all records of this bucket; the reply then
    // carries the receiver's.
    std::optional<unsigned> bucket;
    // Set in a reply when the tables differ.
    std::optional<bucket_digests> buckets;

    friend bool operator==(const gossip_message&,
                           const gossip_message&) = default;
};

}

#endif
