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
            const auto handler = std::move(first->second);
            this->events.erase(first);
            handler();
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
    std::ranges::fill(this->partitions, 0U);
    this->is_lossy = false;
    this->is_list_lagging = false;
    document_key greatest;
    for (auto& target : this->nodes)
    {
        if (!target.is_up)
            continue;
        this->wake(target);
        this->deliver_list(target);
        greatest = std::max(greatest, target.documents->key());
    }
    int last_outdated_round = 0;
    for (int round = 1; round <= rounds; ++round)
    {
        this->advance(1s);
        // A newer document may still arrive; only the newest at
        // healing counts.
        const auto is_behind = [&](const node& target)
        { return target.is_up && target.documents->key() < greatest; };
        if (std::ranges::any_of(this->nodes, is_behind))
            last_outdated_round = round;
    }
    if (last_outdated_round == rounds)
        this->report_violation("documents differ after healing");
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
            this->report_violation("a caller waits past its deadline");
        if (target.members->members().live_addresses() != live)
            this->report_violation("members differ after healing");
    }
    return last_outdated_round;
}

const std::string& fleet::violation() const
{
    return this->first_violation;
}

const std::map<std::string, unsigned>& fleet::event_counts() const
{
    return this->counts;
}

unsigned fleet::random_below(unsigned bound)
{
    return std::uniform_int_distribution<unsigned>(0, bound - 1)(this->random);
}

bool fleet::random_chance(unsigned percent)
{
    return this->random_below(100) < percent;
}

duration fleet::network_delay()
{
    // A few messages are late enough to overtake whole rounds.
    const unsigned bound = this->is_lossy && this->random_chance(5) ? 3000 : 20;
    return std::chrono::milliseconds(1 + this->random_below(bound));
}

void fleet::at(duration delay, unsigned slot, std::uint64_t nonce,
               event_handler handler)
{
    this->events.emplace(this->now + delay,
                         [this, slot, nonce, handler = std::move(handler)]
                         {
                             auto& target = this->nodes[slot];
                             if (target.is_up &&
                                 (nonce == 0 || target.nonce == nonce))
                                 this->deliver(target, handler);
                         });
}

void fleet::send(unsigned from, unsigned to, std::uint64_t nonce,
                 event_handler handler)
{
    const int copies = !this->is_lossy           ? 1
                       : this->random_chance(5)  ? 0
                       : this->random_chance(10) ? 2
                                                 : 1;
    for (int copy = 0; copy < copies; ++copy)
        this->events.emplace(
            this->now + this->network_delay(),
            [this, from, to, nonce, handler]
            {
                auto& target = this->nodes[to];
                if (target.is_up && (nonce == 0 || target.nonce == nonce) &&
                    this->partitions[from] == this->partitions[to])
                    this->deliver(target, handler);
            });
}

void fleet::deliver(node& target, const event_handler& handler)
{
    if (target.is_paused)
    {
        // The event waits in a socket buffer and is lost if the incarnation is
        // killed meanwhile.
        target.backlog.push_back(handler);
        return;
    }
    this->check_for_pause(target);
    handler(target);
    this->check(target);
}

void fleet::check_for_pause(node& target)
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
    this->check_for_pause(target);
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
    if (!this->is_service_down && this->random_chance(5))
        this->deliver_list(target);
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
    auto backlog = std::exchange(target.backlog, {});
    std::ranges::shuffle(backlog, this->random);
    for (const auto& handler : backlog)
        this->deliver(target, handler);
}

void fleet::check(node& target)
{
    const auto key = target.documents->key();
    if (key < target.last_key)
        this->report_violation("a document reverted");
    target.last_key = key;
    const bool is_ready = target.documents->is_ready(this->now);
    ++this->counts[is_ready ? "ready" : "not ready"];
    if (is_ready && target.documents->current() == nullptr)
        this->report_violation("ready without a document");
}

void fleet::report_violation(const std::string& text)
{
    if (this->first_violation.empty())
        this->first_violation = text;
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
