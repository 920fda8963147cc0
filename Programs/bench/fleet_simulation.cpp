#include "fleet_simulation.hpp"

#include "core/process/gossip_codec.hpp"
#include "message_size.hpp"

#include <algorithm>
#include <compare>
#include <map>
#include <utility>

namespace wisteriahatch
{

namespace
{

std::string address_of(std::size_t index)
{
    return "10." + std::to_string(index / 250 / 250) + "." +
           std::to_string(index / 250 % 250) + "." +
           std::to_string(index % 250) + ":9100";
}

constexpr std::size_t failure_domain_count = 23;
constexpr std::uint64_t first_epoch = 1'700'000'000'000;

// Returns a checker that checks each text once, so that instances share the
// parsed document.
document_store::checker make_shared_checker()
{
    auto cache = std::make_shared<std::map<std::string, document_check>>();
    return [cache](std::string_view text)
    {
        auto found = cache->find(std::string(text));
        if (found == cache->end())
            found =
                cache->emplace(std::string(text), check_document(text)).first;
        return found->second;
    };
}

}

struct fleet_simulation::node
{
    membership members;
    document_store documents;
    // Time of the next timer event; timer events for other times are stale.
    time_point timer;
    std::uint64_t sent = 0;
    // Restarts of the instance at this address; replies to requests that it
    // sent before a restart are dropped.
    std::uint64_t restart_count = 0;
    // When the last document came into force.
    time_point document_time;
};

struct fleet_simulation::event
{
    time_point due;
    // Order in which events of the same time are run.
    std::uint64_t sequence = 0;
    std::function<void()> action;

    friend bool operator>(const event& left, const event& right)
    {
        return std::pair(left.due, left.sequence) >
               std::pair(right.due, right.sequence);
    }
};

fleet_simulation::fleet_simulation(std::size_t members, std::uint64_t seed,
                                   initial_records initial)
    : random(seed)
    , now(std::chrono::hours(1))
    , check(make_shared_checker())
{
    gossip_message everyone;
    // Members don't relay records that they receive as part of a bucket.
    if (initial == initial_records::settled)
        everyone.bucket = 0;
    for (std::size_t index = 0; index < members; ++index)
    {
        this->nodes.push_back(this->make_node(index, first_epoch));
        everyone.records.push_back(
            this->nodes.back()->members.members().self());
    }
    std::uniform_int_distribution<duration::rep> phase(
        0, duration(std::chrono::seconds(2)).count());
    for (std::size_t index = 0; index < members; ++index)
    {
        everyone.sender = everyone.records[(index + 1) % members];
        this->nodes[index]->members.handle_exchange(everyone, this->now);
        this->nodes[index]->timer = this->now + duration(phase(this->random));
        this->schedule(this->nodes[index]->timer,
                       [this, index]
                       {
                           this->nodes[index]->members.start(this->now);
                           this->schedule_timer(index);
                       });
    }
}

fleet_simulation::~fleet_simulation() = default;

void fleet_simulation::run_for(duration span)
{
    const time_point end = this->now + span;
    while (!this->events.empty() && this->events.top().due <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.due;
        next.action();
    }
    this->now = end;
}

std::vector<duration> fleet_simulation::publish(const std::string& text,
                                                std::size_t receivers,
                                                duration limit)
{
    const time_point published = this->now;
    const auto has_document = [published](const auto& entry)
    { return entry->document_time > published; };
    std::vector<std::size_t> chosen(this->nodes.size());
    for (std::size_t index = 0; index < chosen.size(); ++index)
        chosen[index] = index;
    std::ranges::shuffle(chosen, this->random);
    chosen.resize(std::min(receivers, chosen.size()));
    for (const std::size_t index : chosen)
    {
        this->schedule(this->now + latency,
                       [this, index, text]
                       {
                           this->perform_actions(
                               index,
                               this->nodes[index]
                                   ->documents.handle_text(text, this->now)
                                   .actions);
                       });
    }
    while (this->now < published + limit &&
           !std::ranges::all_of(this->nodes, has_document))
        this->run_for(std::chrono::milliseconds(100));
    std::vector<duration> times;
    for (const auto& entry : this->nodes)
    {
        if (has_document(entry))
            times.push_back(entry->document_time - published);
    }
    std::ranges::sort(times);
    return times;
}

void fleet_simulation::restart_random_node()
{
    std::uniform_int_distribution<std::size_t> any(0, this->nodes.size() - 1);
    const std::size_t index = any(this->random);
    const std::uint64_t restart_count = this->nodes[index]->restart_count + 1;
    const std::uint64_t sent = this->nodes[index]->sent;
    this->nodes[index] = this->make_node(index, first_epoch + restart_count);
    this->nodes[index]->restart_count = restart_count;
    this->nodes[index]->sent = sent;
    for (const auto& exchange : this->nodes[index]->members.start(this->now))
        this->send(index, exchange);
    this->schedule_timer(index);
}

std::size_t fleet_simulation::largest_agreeing_group() const
{
    std::map<std::uint64_t, std::size_t> views;
    std::size_t largest = 0;
    for (const auto& entry : this->nodes)
        largest = std::max(largest, ++views[entry->members.members().digest()]);
    return largest;
}

control_traffic fleet_simulation::traffic() const
{
    control_traffic result = this->total_traffic;
    for (const auto& entry : this->nodes)
        result.max_sent_bytes = std::max(result.max_sent_bytes, entry->sent);
    return result;
}

void fleet_simulation::reset_traffic()
{
    this->total_traffic = {};
    for (const auto& entry : this->nodes)
        entry->sent = 0;
}

void fleet_simulation::schedule(time_point due, std::function<void()> action)
{
    this->events.push({.due = due,
                       .sequence = ++this->events_scheduled,
                       .action = std::move(action)});
}

void fleet_simulation::schedule_timer(std::size_t index)
{
    const time_point due =
        std::max(this->nodes[index]->members.next_timer(), this->now);
    this->nodes[index]->timer = due;
    this->schedule(due,
                   [this, index, due]
                   {
                       if (this->nodes[index]->timer != due)
                           return;
                       for (const auto& exchange :
                            this->nodes[index]->members.handle_timer(this->now))
                           this->send(index, exchange);
                       this->schedule_timer(index);
                   });
}

void fleet_simulation::send(std::size_t from,
                            const membership::exchange& exchange)
{
    const std::size_t to = this->index_of(exchange.address);
    this->count(from, request_bytes("gossip.exchange",
                                    encode_gossip(exchange.message)));
    this->schedule(this->now + latency,
                   [this, from, to, message = exchange.message]
                   { this->deliver(from, to, message); });
}

void fleet_simulation::deliver(std::size_t from, std::size_t to,
                               const gossip_message& message)
{
    const gossip_message reply =
        this->nodes[to]->members.handle_exchange(message, this->now);
    this->handle_peer_key(to, message.sender.address, message.sender.document);
    this->count(to, response_bytes(encode_gossip(reply)));
    const std::uint64_t restart_count = this->nodes[from]->restart_count;
    this->schedule(this->now + latency,
                   [this, from, restart_count, reply]
                   {
                       if (this->nodes[from]->restart_count != restart_count)
                           return;
                       const auto next =
                           this->nodes[from]->members.handle_reply(
                               reply.sender.address, reply, this->now);
                       this->handle_peer_key(from, reply.sender.address,
                                             reply.sender.document);
                       if (next)
                           this->send(from, *next);
                   });
}

void fleet_simulation::handle_peer_key(std::size_t index,
                                       const std::string& peer,
                                       const document_key& key)
{
    if (key.serial > 0)
        this->perform_actions(
            index, this->nodes[index]->documents.handle_peer_key(peer, key,
                                                                 this->now));
}

void fleet_simulation::perform_actions(
    std::size_t index, const std::vector<document_action>& actions)
{
    for (const document_action& action : actions)
    {
        if (const auto* wanted = std::get_if<fetch_document>(&action))
            this->fetch(index, *wanted);
        const auto* accepted = std::get_if<activate_document>(&action);
        if (accepted == nullptr)
            continue;
        this->nodes[index]->document_time = this->now;
        this->nodes[index]->members.set_document_key(accepted->accepted->key,
                                                     this->now);
        this->schedule_timer(index);
    }
}

void fleet_simulation::fetch(std::size_t from, const fetch_document& action)
{
    const std::size_t bytes = request_bytes(
        "document.fetch", encode_document_request(action.request));
    this->count(from, bytes);
    this->total_traffic.fetch_bytes += bytes;
    const std::uint64_t restart_count = this->nodes[from]->restart_count;
    this->schedule(
        this->now + latency,
        [this, from, restart_count, action]
        {
            const std::size_t to = this->index_of(action.peer);
            const document_transfer transfer =
                this->nodes[to]->documents.answer_fetch(action.request);
            const std::size_t reply =
                response_bytes(encode_document_transfer(transfer));
            this->count(to, reply);
            this->total_traffic.fetch_bytes += reply;
            this->schedule(
                this->now + latency,
                [this, from, restart_count, peer = action.peer, transfer]
                {
                    if (this->nodes[from]->restart_count != restart_count)
                        return;
                    this->perform_actions(
                        from, this->nodes[from]
                                  ->documents
                                  .handle_transfer(peer, transfer, this->now)
                                  .actions);
                });
        });
}

void fleet_simulation::count(std::size_t from, std::size_t bytes)
{
    this->nodes[from]->sent += bytes;
    this->total_traffic.bytes += bytes;
    ++this->total_traffic.messages;
}

std::size_t fleet_simulation::index_of(const std::string& address) const
{
    unsigned high = 0;
    unsigned middle = 0;
    unsigned low = 0;
    std::sscanf(address.c_str(), "10.%u.%u.%u:", &high, &middle, &low);
    return (std::size_t{high} * 250 + middle) * 250 + low;
}

std::unique_ptr<fleet_simulation::node>
fleet_simulation::make_node(std::size_t index, std::uint64_t epoch)
{
    const std::string address = address_of(index);
    membership::options options{
        .self = {.address = address,
                 .failure_domain = "r" + std::to_string(index % 6) + "-fd" +
                                   std::to_string(index % failure_domain_count),
                 .nonce = {this->random()},
                 .epoch = epoch}};
    std::uniform_int_distribution<std::size_t> any(
        0, std::max<std::size_t>(this->nodes.size(), 1) - 1);
    for (int seed = 0; seed < 3 && !this->nodes.empty(); ++seed)
        options.seeds.push_back(address_of(any(this->random)));
    return std::make_unique<node>(
        node{.members = membership(std::move(options), this->random()),
             .documents =
                 document_store({.instance = address, .environment = "bench"},
                                this->random(), this->check)});
}

}
