#ifndef WISTERIAHATCH_CORE_PROCESS_GOSSIP_MESSAGE_HPP
#define WISTERIAHATCH_CORE_PROCESS_GOSSIP_MESSAGE_HPP

#include "core/base/ids.hpp"
#include "core/process/rate_limit_report.hpp"
#include "core/process/source_position.hpp"
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

// The state of one member as exchanged between instances.
struct member_record
{
    // Peer address, "IP:port".
    std::string address;
    std::string failure_domain;
    incarnation nonce;
    // Wall-clock time at start in milliseconds. Raised above any epoch seen for
    // the same address, and again to refute a suspicion.
    std::uint64_t epoch = 0;
    member_state state = member_state::alive;
    // Key of the member's active document. Sent only by the member itself and
    // not relayed; otherwise a new document would cause an update of every
    // record.
    document_key document;

    friend bool operator==(const member_record&,
                           const member_record&) = default;
};

// True when `record` replaces `known` for the same address: by epoch, then
// state, then nonce.
bool takes_precedence(const member_record& record, const member_record& known);

// Number of address buckets whose digests are compared when tables differ.
inline constexpr unsigned bucket_count = 64;
using bucket_digests = std::array<std::uint64_t, bucket_count>;

unsigned bucket_of(const std::string& address);

// Maximum number of recently changed records in one message.
inline constexpr std::size_t max_update_records = 12;
// Maximum number of records in one message. A bucket of the largest planned
// fleet holds 77 on average.
inline constexpr std::size_t max_message_records = 256;
// Highest accepted epoch. JSON numbers are exact up to 2^53; the range above
// this limit is left for refutations.
inline constexpr std::uint64_t max_epoch = 1ULL << 52;

// Request and reply of gossip.exchange.
struct gossip_message
{
    member_record sender;
    std::uint64_t table_digest = 0;
    // Recently changed records, followed by those of `bucket` if it is set.
    std::vector<member_record> records;
    // Set if `records` includes the sender's records of this bucket; the reply
    // then includes the receiver's.
    std::optional<unsigned> bucket;
    // The sender's bucket digests; set in a reply if the tables differ.
    std::optional<bucket_digests> buckets;
    // How current the sender's routing is; only gateways send it.
    std::optional<routing_position> routing;
    // At most max_rate_limit_reports.
    std::vector<rate_limit_report> rate_limits;

    friend bool operator==(const gossip_message&,
                           const gossip_message&) = default;
};

}

#endif
