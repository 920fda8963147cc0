#include "core/process/fleet.hpp"

#include "core/process/plain_document.hpp"

#include <algorithm>

namespace wisteriahatch::test_support
{

using namespace std::chrono_literals;

fleet::fleet(std::uint64_t seed, control_fault injected)
    : injected(injected)
    , random(seed)
{
    this->publish(++this->serial, "first");
    for (unsigned slot = 0; slot < slots; ++slot)
        this->start(slot);
}

void fleet::advance(duration time)
{
    const auto end = this->now + time;
    while (this->now < end)
    {
        const auto next = std::min(end, this->now + 100ms);
        while (!this->events.empty() && this->events.begin()->first <= next)
        {
            const auto first = this->events.begin();
            this->now = std::max(this->now, first->first);
            const auto happens = std::move(first->second);
            this->events.erase(first);
            happens();
        }
        this->now = next;
        for (auto& target : this->nodes)
        {
            if (target.is_up && !target.is_paused)
                this->tick(target);
        }
    }
}

int fleet::settle(int rounds)
{
    std::ranges::fill(this->parts, 0U);
    this->is_lossy = false;
    this->is_list_lagging = false;
    document_key greatest;
    for (auto& target : this->nodes)
    {
        if (!target.is_up)
            continue;
        this->wake(target);
        this->give_list(target);
        greatest = std::max(greatest, target.documents->key());
    }
    int agreed = 0;
    for (int round = 1; round <= rounds; ++round)
    {
        this->advance(1s);
        // A newer document may still arrive; what counts is the one that
        // was the greatest at healing.
        const auto is_behind = [&](const node& target)
        { return target.is_up && target.documents->key() < greatest; };
        if (std::ranges::any_of(this->nodes, is_behind))
            agreed = round;
    }
    if (agreed == rounds)
        this->break_invariant("documents differ after healing");
    std::vector<std::string> live;
    for (const auto& target : this->nodes)
    {
        if (target.is_up)
            live.push_back(address(target.slot));
    }
    for (const auto& target : this->nodes)
    {
        if (!target.is_up)
            continue;
        if (target.runs->waiting() > 0)
            this->break_invariant("a caller waits past its deadline");
        if (target.members->members().live_addresses() != live)
            this->break_invariant("members differ after healing");
    }
    return agreed;
}

const std::string& fleet::violation() const
{
    return this->broken;
}

const std::map<std::string, unsigned>& fleet::reached() const
{
    return this->counts;
}

unsigned fleet::random_below(unsigned bound)
{
    return std::uniform_int_distribution<unsigned>(0, bound - 1)(this->random);
}

bool fleet::happens(unsigned percent)
{
    return this->random_below(100) < percent;
}

duration fleet::network_delay()
{
    // A few messages are late enough to overtake whole rounds.
    const unsigned bound = this->is_lossy && this->happens(5) ? 3000 : 20;
    return std::chrono::milliseconds(1 + this->random_below(bound));
}

void fleet::at(duration delay, unsigned slot, std::uint64_t nonce,
               event happens)
{
    this->events.emplace(this->now + delay,
                         [this, slot, nonce, happens = std::move(happens)]
                         {
                             auto& target = this->nodes[slot];
                             if (target.is_up &&
                                 (nonce == 0 || target.nonce == nonce))
                                 this->deliver(target, happens);
                         });
}

void fleet::send(unsigned from, unsigned to, std::uint64_t nonce, event happens)
{
    const int copies = !this->is_lossy     ? 1
                       : this->happens(5)  ? 0
                       : this->happens(10) ? 2
                                           : 1;
    for (int copy = 0; copy < copies; ++copy)
        this->events.emplace(this->now + this->network_delay(),
                             [this, from, to, nonce, happens]
                             {
                                 auto& target = this->nodes[to];
                                 if (target.is_up &&
                                     (nonce == 0 || target.nonce == nonce) &&
                                     this->parts[from] == this->parts[to])
                                     this->deliver(target, happens);
                             });
}

void fleet::deliver(node& target, const event& happens)
{
    if (target.is_paused)
    {
        // Waits in a socket buffer; what was sent to an incarnation that is
        // killed meanwhile is lost with it.
        target.backlog.push_back(happens);
        return;
    }
    this->touch(target);
    happens(target);
    this->check(target);
}

void fleet::touch(node& target)
{
    if (!target.pauses->tick(this->now))
        return;
    ++this->counts["pause"];
    this->perform(target, target.runs->cancel_unsent(this->now));
    target.members->handle_pause(this->now);
    this->perform(target,
                  target.documents->handle_pause(
                      target.members->members().live_addresses(), this->now));
}

void fleet::tick(node& target)
{
    this->touch(target);
    this->perform(target, target.runs->handle_timer(this->now));
    for (const auto& exchange : target.members->handle_timer(this->now))
        this->gossip(target, exchange);
    const auto& table = target.members->members();
    if (table.generation() != target.seen_generation)
    {
        target.seen_generation = table.generation();
        this->perform(target, target.documents->set_members(
                                  table.live_addresses(), this->now));
    }
    this->perform(target, target.documents->handle_timer(this->now));
    if (!this->is_service_down && this->happens(5))
        this->give_list(target);
    this->check(target);
}

void fleet::start(unsigned slot)
{
    auto& target = this->nodes[slot];
    target = {};
    target.slot = slot;
    target.nonce = this->next_number++;
    target.is_up = true;
    // The clocks of instances are up to 20 s apart.
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->now.time_since_epoch());
    const auto epoch =
        static_cast<std::uint64_t>(wall.count()) - this->random_below(20000);
    target.runs = std::make_unique<run_registry>(
        run_registry::options{.instance = address(slot),
                              .self = {target.nonce},
                              .fault = this->injected});
    target.members = std::make_unique<membership>(
        membership::options{.self = {.address = address(slot),
                                     .failure_domain = "z",
                                     .nonce = {target.nonce},
                                     .epoch = epoch},
                            .seeds = {address(0), address(1)}},
        this->random());
    target.documents = std::make_unique<document_store>(
        document_store::options{.instance = address(slot),
                                .environment = "test",
                                .reader_count = 1,
                                .fault = this->injected},
        this->random(), check_plain);
    target.pauses = std::make_unique<pause_detector>(this->now);
    target.resumed_at = this->now - 1h;
    for (const auto& exchange : target.members->start(this->now))
        this->gossip(target, exchange);
    const std::vector<std::string> seeds = {address(0), address(1)};
    this->perform(target, target.documents->start(seeds, this->now));
}

void fleet::wake(node& target)
{
    if (!target.is_up || !target.is_paused)
        return;
    target.is_paused = false;
    // The last tick was up to 100 ms earlier.
    if (this->now - target.paused_at > pause_detector::threshold)
        target.resumed_at = this->now;
    auto late = std::exchange(target.backlog, {});
    std::ranges::shuffle(late, this->random);
    for (const auto& happens : late)
        this->deliver(target, happens);
}

void fleet::check(node& target)
{
    const auto key = target.documents->key();
    if (key < target.last_key)
        this->break_invariant("a document reverted");
    target.last_key = key;
    const bool is_ready = target.documents->is_ready(this->now);
    ++this->counts[is_ready ? "ready" : "not ready"];
    if (is_ready && target.documents->current() == nullptr)
        this->break_invariant("ready without a document");
}

void fleet::break_invariant(const std::string& text)
{
    if (this->broken.empty())
        this->broken = text;
}

std::string fleet::address(unsigned slot)
{
    return "10.0.0." + std::to_string(slot) + ":1";
}

unsigned fleet::slot_of(const std::string& address)
{
    return static_cast<unsigned>(address.at(7) - '0');
}

}
