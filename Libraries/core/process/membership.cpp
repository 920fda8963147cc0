#include "core/process/membership.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace wisteriahatch
{

namespace
{

// One round in this many contacts an address that is not a known member, so
// that partitions find each other again after the network has healed.
constexpr std::uint64_t non_member_period = 5;

// Rounds at the short interval after a change, and seeds contacted at start.
constexpr unsigned fast_round_count = 3;
constexpr std::chrono::milliseconds fast_round_interval{100};

// A message with at least this many members that were unknown shows an
// incomplete table. Single members also join a running fleet.
constexpr std::size_t min_unknown_members = 2;

}

membership::membership(options opts, std::uint64_t seed)
    : config(std::move(opts))
    , random(seed)
    , table(this->config.self, this->config.table)
{
}

std::vector<membership::exchange> membership::start(time_point now)
{
    this->next_round = now + fast_round_interval;
    this->fast_rounds_left = fast_round_count;
    std::vector<std::string> chosen_seeds;
    std::ranges::sample(this->config.seeds, std::back_inserter(chosen_seeds),
                        fast_round_count, this->random);
    std::vector<exchange> exchanges;
    for (const auto& address : chosen_seeds)
    {
        if (address != this->table.self().address)
            exchanges.push_back(this->make_exchange(address));
    }
    return exchanges;
}

std::vector<membership::exchange> membership::handle_timer(time_point now)
{
    this->table.expire(now);
    if (now < this->next_round)
        return {};
    if (this->fast_rounds_left > 0)
    {
        --this->fast_rounds_left;
        this->next_round = now + fast_round_interval;
    }
    else
    {
        // Random jitter, so that instances that started together do not
        // gossip in lockstep.
        std::uniform_real_distribution<double> jitter(0.9, 1.1);
        this->next_round =
            now + std::chrono::duration_cast<duration>(this->round_interval() *
                                                       jitter(this->random));
    }
    const auto target = this->choose_target();
    if (!target)
        return {};
    return {this->make_exchange(*target)};
}

time_point membership::next_timer() const
{
    return this->next_round;
}

membership::exchange membership::make_exchange(const std::string& address)
{
    return {.address = address, .message = this->compose(address)};
}

gossip_message membership::handle_exchange(const gossip_message& request,
                                           time_point now)
{
    this->merge(request, now);
    auto reply = this->compose(request.sender.address);
    if (request.bucket)
        this->add_bucket(reply, *request.bucket % bucket_count);
    else if (request.table_digest != reply.table_digest)
        reply.buckets = this->table.buckets();
    return reply;
}

std::optional<membership::exchange>
membership::handle_reply(const std::string& address,
                         const gossip_message& reply, time_point now)
{
    this->merge(reply, now);
    if (!reply.buckets)
        return std::nullopt;
    const auto own = this->table.buckets();
    std::vector<unsigned> differing;
    for (unsigned bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (own.at(bucket) != reply.buckets->at(bucket))
            differing.push_back(bucket);
    }
    if (differing.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> index(0, differing.size() - 1);
    auto next = this->make_exchange(address);
    this->add_bucket(next.message, differing[index(this->random)]);
    return next;
}

void membership::handle_no_answer(const std::string& address, time_point now)
{
    this->table.suspect(address, now);
}

void membership::set_hints(std::vector<std::string> addresses)
{
    this->hints = std::move(addresses);
}

void membership::set_document_key(const document_key& key, time_point now)
{
    this->table.set_document(key);
    this->fast_rounds_left = fast_round_count;
    this->next_round = now;
}

void membership::set_leaving(time_point now)
{
    this->table.set_leaving();
    this->fast_rounds_left = fast_round_count;
    this->next_round = now;
}

void membership::handle_pause(time_point now)
{
    this->table.restart_suspicions(now);
    this->next_round = now;
    this->fast_rounds_left = fast_round_count;
}

const member_table& membership::members() const
{
    return this->table;
}

gossip_message membership::compose(const std::string& receiver)
{
    gossip_message message;
    message.sender = this->table.self();
    message.table_digest = this->table.digest();
    // Only the receiver itself can refute that it is suspect, leaving or dead,
    // so its own record is always included in these states.
    const auto* known = this->table.find(receiver);
    if (known != nullptr && known->state != member_state::alive)
        message.records.push_back(*known);
    auto updates = this->table.take_updates(
        receiver, max_update_records - message.records.size(), this->random);
    std::ranges::move(updates, std::back_inserter(message.records));
    return message;
}

void membership::add_bucket(gossip_message& message, unsigned bucket) const
{
    message.bucket = bucket;
    auto records = this->table.bucket_records(
        bucket, max_message_records - message.records.size());
    std::ranges::move(records, std::back_inserter(message.records));
}

void membership::merge(const gossip_message& message, time_point now)
{
    const auto known = this->table.size();
    this->table.merge_sender(message.sender, now);
    const auto origin =
        message.bucket ? record_origin::repair : record_origin::update;
    for (const auto& record : message.records)
        this->table.merge(record, origin, now);
    if (this->table.size() < known + min_unknown_members)
        return;
    this->fast_rounds_left = std::max(this->fast_rounds_left, 1U);
    this->next_round = std::min(this->next_round, now + fast_round_interval);
}

std::optional<std::string> membership::choose_target()
{
    std::vector<std::string> members;
    for (const auto& record : this->table.members())
    {
        if (record.address != this->table.self().address)
            members.push_back(record.address);
    }
    auto non_members = this->table.dead_addresses();
    for (const auto* list : {&this->config.seeds, &this->hints})
    {
        for (const auto& address : *list)
        {
            if (this->table.find(address) == nullptr)
                non_members.push_back(address);
        }
    }
    ++this->rounds;
    const bool is_non_member_due =
        members.empty() || this->rounds % non_member_period == 0;
    const auto& candidates =
        is_non_member_due && !non_members.empty() ? non_members : members;
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    return candidates[index(this->random)];
}

duration membership::round_interval() const
{
    // One gossip interval for up to 100 members, two for up to 10,000.
    const auto size = static_cast<double>(this->table.size());
    const auto factor = std::max(1.0, std::ceil(std::log10(size) / 2));
    return std::chrono::duration_cast<duration>(this->config.gossip_interval *
                                                factor);
}

}
