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

std::string address_of(std::size_t at)
{
    return "10." + std::to_string(at / 250 / 250) + "." +
           std::to_string(at / 250 % 250) + "." + std::to_string(at % 250) +
           ":9100";
}

constexpr std::size_t failure_domains = 23;
constexpr std::uint64_t first_epoch = 1'700'000'000'000;

// Checks each text once, so that instances share the parsed document.
document_store::checker make_shared_checker()
{
    auto known = std::make_shared<std::map<std::string, document_check>>();
    return [known](std::string_view text)
    {
        auto found = known->find(std::string(text));
        if (found == known->end())
            found =
                known->emplace(std::string(text), check_document(text)).first;
        return found->second;
    };
}

}

struct fleet_simulation::node
{
    membership members;
    document_store documents;
    // Timer events for another time are out of date.
    time_point timer;
    std::uint64_t sent = 0;
    // Replacements at this address; messages to an earlier one are lost.
    std::uint64_t life = 0;
    // When the document that is being published came into force.
    time_point informed;
};

struct fleet_simulation::event
{
    time_point at;
    // Keeps events of the same time in their order.
    std::uint64_t order = 0;
    std::function<void()> action;

    friend bool operator>(const event& left, const event& right)
    {
        return std::pair(left.at, left.order) >
               std::pair(right.at, right.order);
    }
};

fleet_simulation::fleet_simulation(std::size_t members, std::uint64_t seed,
                                   initial_records initial)
    : random(seed)
    , now(std::chrono::hours(1))
    , check(make_shared_checker())
{
    gossip_message everyone;
    // Records of a bucket's repair are not relayed.
    if (initial == initial_records::settled)
        everyone.bucket = 0;
    for (std::size_t at = 0; at < members; ++at)
    {
        this->nodes.push_back(this->make_node(at, first_epoch));
        everyone.records.push_back(
            this->nodes.back()->members.members().self());
    }
    std::uniform_int_distribution<duration::rep> phase(
        0, duration(std::chrono::seconds(2)).count());
    for (std::size_t at = 0; at < members; ++at)
    {
        everyone.sender = everyone.records[(at + 1) % members];
        this->nodes[at]->members.handle_exchange(everyone, this->now);
        this->nodes[at]->timer = this->now + duration(phase(this->random));
        this->schedule(this->nodes[at]->timer,
                       [this, at]
                       {
                           this->nodes[at]->members.start(this->now);
                           this->schedule_timer(at);
                       });
    }
}

fleet_simulation::~fleet_simulation() = default;

void fleet_simulation::run_for(duration span)
{
    const time_point end = this->now + span;
    while (!this->events.empty() && this->events.top().at <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        next.action();
    }
    this->now = end;
}

std::vector<duration> fleet_simulation::publish(const std::string& text,
                                                std::size_t receivers,
                                                duration limit)
{
    const time_point published = this->now;
    const auto is_informed = [published](const auto& entry)
    { return entry->informed > published; };
    std::vector<std::size_t> chosen(this->nodes.size());
    for (std::size_t at = 0; at < chosen.size(); ++at)
        chosen[at] = at;
    std::ranges::shuffle(chosen, this->random);
    chosen.resize(std::min(receivers, chosen.size()));
    for (const std::size_t at : chosen)
    {
        this->schedule(this->now + latency,
                       [this, at, text]
                       {
                           this->perform(
                               at, this->nodes[at]
                                       ->documents.handle_text(text, this->now)
                                       .actions);
                       });
    }
    while (this->now < published + limit &&
           !std::ranges::all_of(this->nodes, is_informed))
        this->run_for(std::chrono::milliseconds(100));
    std::vector<duration> times;
    for (const auto& entry : this->nodes)
    {
        if (is_informed(entry))
            times.push_back(entry->informed - published);
    }
    std::ranges::sort(times);
    return times;
}

void fleet_simulation::restart_one()
{
    std::uniform_int_distribution<std::size_t> any(0, this->nodes.size() - 1);
    const std::size_t at = any(this->random);
    const std::uint64_t life = this->nodes[at]->life + 1;
    const std::uint64_t sent = this->nodes[at]->sent;
    this->nodes[at] = this->make_node(at, first_epoch + life);
    this->nodes[at]->life = life;
    this->nodes[at]->sent = sent;
    for (const auto& exchange : this->nodes[at]->members.start(this->now))
        this->send(at, exchange);
    this->schedule_timer(at);
}

std::size_t fleet_simulation::largest_agreement() const
{
    std::map<std::uint64_t, std::size_t> views;
    std::size_t largest = 0;
    for (const auto& entry : this->nodes)
        largest = std::max(largest, ++views[entry->members.members().digest()]);
    return largest;
}

control_traffic fleet_simulation::traffic() const
{
    control_traffic result = this->counted;
    for (const auto& entry : this->nodes)
        result.most_sent = std::max(result.most_sent, entry->sent);
    return result;
}

void fleet_simulation::reset_traffic()
{
    this->counted = {};
    for (const auto& entry : this->nodes)
        entry->sent = 0;
}

void fleet_simulation::schedule(time_point at, std::function<void()> action)
{
    this->events.push({.at = at,
                       .order = ++this->events_scheduled,
                       .action = std::move(action)});
}

void fleet_simulation::schedule_timer(std::size_t at)
{
    const time_point due =
        std::max(this->nodes[at]->members.next_timer(), this->now);
    this->nodes[at]->timer = due;
    this->schedule(due,
                   [this, at, due]
                   {
                       if (this->nodes[at]->timer != due)
                           return;
                       for (const auto& exchange :
                            this->nodes[at]->members.handle_timer(this->now))
                           this->send(at, exchange);
                       this->schedule_timer(at);
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
    this->take_key(to, message.sender.address, message.sender.document);
    this->count(to, response_bytes(encode_gossip(reply)));
    const std::uint64_t life = this->nodes[from]->life;
    this->schedule(
        this->now + latency,
        [this, from, life, reply]
        {
            if (this->nodes[from]->life != life)
                return;
            const auto next = this->nodes[from]->members.handle_reply(
                reply.sender.address, reply, this->now);
            this->take_key(from, reply.sender.address, reply.sender.document);
            if (next)
                this->send(from, *next);
        });
}

void fleet_simulation::take_key(std::size_t at, const std::string& peer,
                                const document_key& key)
{
    if (key.serial > 0)
        this->perform(at, this->nodes[at]->documents.handle_peer_key(
                              peer, key, this->now));
}

void fleet_simulation::perform(std::size_t at,
                               const std::vector<document_action>& actions)
{
    for (const document_action& action : actions)
    {
        if (const auto* wanted = std::get_if<fetch_document>(&action))
            this->fetch(at, *wanted);
        const auto* accepted = std::get_if<activate_document>(&action);
        if (accepted == nullptr)
            continue;
        this->nodes[at]->informed = this->now;
        this->nodes[at]->members.set_document_key(accepted->accepted->key,
                                                  this->now);
        this->schedule_timer(at);
    }
}

void fleet_simulation::fetch(std::size_t from, const fetch_document& action)
{
    const std::size_t bytes = request_bytes(
        "document.fetch", encode_document_request(action.request));
    this->count(from, bytes);
    this->counted.fetch_bytes += bytes;
    const std::uint64_t life = this->nodes[from]->life;
    this->schedule(
        this->now + latency,
        [this, from, life, action]
        {
            const std::size_t to = this->index_of(action.peer);
            const document_transfer transfer =
                this->nodes[to]->documents.answer_fetch(action.request);
            const std::size_t reply =
                response_bytes(encode_document_transfer(transfer));
            this->count(to, reply);
            this->counted.fetch_bytes += reply;
            this->schedule(
                this->now + latency,
                [this, from, life, peer = action.peer, transfer]
                {
                    if (this->nodes[from]->life != life)
                        return;
                    this->perform(
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
    this->counted.bytes += bytes;
    ++this->counted.messages;
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
fleet_simulation::make_node(std::size_t at, std::uint64_t epoch)
{
    const std::string address = address_of(at);
    membership::options options{
        .self = {.address = address,
                 .failure_domain = "r" + std::to_string(at % 6) + "-fd" +
                                   std::to_string(at % failure_domains),
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
