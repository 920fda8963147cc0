#include "core/process/member_table.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace wisteriahatch
{

namespace
{

// A changed record is sent in this many messages times log2(size), which
// reaches every member with high probability in an epidemic protocol.
constexpr unsigned send_factor = 3;

std::uint64_t record_hash(const member_record& record)
{
    auto hash = XXH3_64bits(record.address.data(), record.address.size());
    hash =
        XXH3_64bits_withSeed(&record.nonce.value, sizeof(std::uint64_t), hash);
    const auto epoch = record.epoch * 4 + static_cast<unsigned>(record.state);
    return XXH3_64bits_withSeed(&epoch, sizeof(epoch), hash);
}

// Clears the document key, which only the member itself announces.
member_record without_document(member_record record)
{
    record.document = {};
    return record;
}

}

member_table::member_table(member_record self, options opts)
    : config(opts)
    , own_address(self.address)
{
    this->entries[this->own_address] = {.record = std::move(self),
                                        .expires_at = time_point::max()};
}

void member_table::merge(const member_record& record, record_origin origin,
                         time_point now)
{
    if (record.epoch > max_epoch)
        return;
    const auto found = this->entries.find(record.address);
    if (found == this->entries.end())
    {
        // Tombstones of unknown members are ignored, because instances that
        // copied them from each other would never expire them.
        if (record.state == member_state::dead ||
            this->entries.size() >= this->config.max_members)
            return;
        this->replace(this->entries[record.address], record, origin, now);
        return;
    }
    auto& known = found->second;
    if (record.address != this->own_address)
    {
        if (takes_precedence(record, known.record))
            this->replace(known, record, origin, now);
        return;
    }
    // The record describes another incarnation at this address, or claims that
    // this one has failed. A higher epoch makes this instance's own record take
    // precedence at every member.
    const bool is_other_incarnation = record.nonce != known.record.nonce;
    if (is_other_incarnation ? record.epoch >= known.record.epoch
                             : takes_precedence(record, known.record))
    {
        known.record.epoch = record.epoch + 1;
        ++this->changes;
    }
}

void member_table::merge_sender(const member_record& sender, time_point now)
{
    this->merge(without_document(sender), record_origin::update, now);
    const auto found = this->entries.find(sender.address);
    if (found == this->entries.end() || sender.address == this->own_address ||
        found->second.record.nonce != sender.nonce)
        return;
    auto& known = found->second;
    // A delayed message may name an older document.
    known.record.document = std::max(known.record.document, sender.document);
    // The member still sends messages. It learns from the reply that it is
    // suspected and needs time to refute this.
    if (known.record.state == member_state::suspect)
        known.expires_at = now + this->suspicion_time();
}

void member_table::suspect(const std::string& address, time_point now)
{
    const auto found = this->entries.find(address);
    if (found == this->entries.end() || address == this->own_address)
        return;
    auto& known = found->second;
    if (known.record.state == member_state::alive)
    {
        auto record = known.record;
        record.state = member_state::suspect;
        this->replace(known, record, record_origin::update, now);
    }
    else if (known.record.state == member_state::leaving)
    {
        known.expires_at =
            std::min(known.expires_at, now + this->suspicion_time());
    }
}

void member_table::expire(time_point now)
{
    std::erase_if(this->entries,
                  [&](const auto& known)
                  {
                      return known.second.record.state == member_state::dead &&
                             now >= known.second.expires_at;
                  });
    for (auto& [address, known] : this->entries)
    {
        if (now < known.expires_at || known.record.state == member_state::dead)
            continue;
        auto record = known.record;
        record.state = member_state::dead;
        this->replace(known, record, record_origin::update, now);
    }
}

void member_table::restart_suspicions(time_point now)
{
    for (auto& [address, known] : this->entries)
    {
        if (known.record.state == member_state::suspect)
            known.expires_at = now + this->suspicion_time();
        else if (known.record.state == member_state::leaving)
            known.expires_at = time_point::max();
    }
}

void member_table::set_document(const document_key& key)
{
    this->entries.at(this->own_address).record.document = key;
}

void member_table::set_leaving()
{
    this->entries.at(this->own_address).record.state = member_state::leaving;
    ++this->changes;
}

const member_record& member_table::self() const
{
    return this->entries.at(this->own_address).record;
}

const member_record* member_table::find(const std::string& address) const
{
    const auto found = this->entries.find(address);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

std::vector<member_record> member_table::members() const
{
    std::vector<member_record> records;
    for (const auto& [address, known] : this->entries)
    {
        if (known.record.state != member_state::dead)
            records.push_back(known.record);
    }
    return records;
}

std::vector<std::string> member_table::dead_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, known] : this->entries)
    {
        if (known.record.state == member_state::dead)
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> member_table::live_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, known] : this->entries)
    {
        if (known.record.state == member_state::alive ||
            known.record.state == member_state::suspect)
            addresses.push_back(address);
    }
    return addresses;
}

std::size_t member_table::size() const
{
    const auto is_member = [](const auto& known)
    { return known.second.record.state != member_state::dead; };
    return static_cast<std::size_t>(
        std::ranges::count_if(this->entries, is_member));
}

bucket_digests member_table::buckets() const
{
    bucket_digests digests{};
    for (const auto& [address, known] : this->entries)
    {
        if (known.record.state != member_state::dead)
            digests.at(bucket_of(address)) += record_hash(known.record);
    }
    return digests;
}

std::uint64_t member_table::digest() const
{
    std::uint64_t sum = 0;
    for (const auto digest : this->buckets())
        sum += digest;
    return sum;
}

std::uint64_t member_table::generation() const
{
    return this->changes;
}

std::vector<member_record>
member_table::take_updates(const std::string& receiver, std::size_t max_records,
                           std::mt19937_64& random)
{
    const unsigned limit = this->send_limit();
    std::vector<entry*> pending;
    for (auto& [address, known] : this->entries)
    {
        if (address != this->own_address && address != receiver &&
            known.times_sent < limit)
            pending.push_back(&known);
    }
    // Records with the same send count are taken in random order.
    std::ranges::shuffle(pending, random);
    std::ranges::stable_sort(
        pending, {}, [](const entry* known) { return known->times_sent; });
    pending.resize(std::min(max_records, pending.size()));
    std::vector<member_record> records;
    for (auto* known : pending)
    {
        ++known->times_sent;
        records.push_back(without_document(known->record));
    }
    return records;
}

std::vector<member_record>
member_table::bucket_records(unsigned bucket, std::size_t max_records) const
{
    std::vector<member_record> records;
    for (const auto& [address, known] : this->entries)
    {
        if (records.size() < max_records && bucket_of(address) == bucket)
            records.push_back(without_document(known.record));
    }
    return records;
}

unsigned member_table::send_limit() const
{
    return send_factor * std::bit_width(this->size());
}

void member_table::replace(entry& known, const member_record& record,
                           record_origin origin, time_point now)
{
    auto document = known.record.nonce == record.nonce ? known.record.document
                                                       : document_key{};
    known = {.record = record, .expires_at = time_point::max()};
    known.record.document = std::move(document);
    if (origin == record_origin::repair)
        known.times_sent = this->send_limit();
    if (record.state == member_state::suspect)
        known.expires_at = now + this->suspicion_time();
    else if (record.state == member_state::dead)
        known.expires_at = now + this->config.tombstone_retention;
    ++this->changes;
}

duration member_table::suspicion_time() const
{
    const auto size = static_cast<double>(this->size());
    return std::chrono::duration_cast<duration>(
        this->config.suspicion_timeout * std::max(1.0, std::log10(size)));
}

}
