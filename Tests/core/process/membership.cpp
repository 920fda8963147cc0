#include "core/process/membership.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

member_record record_of(const std::string& address, std::uint64_t epoch = 100,
                        member_state state = member_state::alive,
                        std::uint64_t nonce = 1)
{
    return {.address = address,
            .failure_domain = "z",
            .nonce = {nonce},
            .epoch = epoch,
            .state = state};
}

// Instances whose exchanges are answered immediately, or not at all if the
// target is in `silent`.
class small_fleet
{
public:
    explicit small_fleet(unsigned size)
    {
        for (unsigned index = 0; index < size; ++index)
            this->instances.push_back(this->make(index, 100, 1));
        for (auto& instance : this->instances)
            this->send(instance, instance.start(start));
    }

    static std::string address(unsigned index)
    {
        return "10.0.0." + std::to_string(index) + ":1";
    }

    static membership make(unsigned index, std::uint64_t epoch,
                           std::uint64_t nonce)
    {
        return {{.self = record_of(address(index), epoch, member_state::alive,
                                   nonce),
                 .seeds = {address(0), address(1)}},
                index + nonce};
    }

    // Simulates the fleet for this time in steps of 100 ms.
    void play(int seconds)
    {
        for (const auto end = this->now + std::chrono::seconds(seconds);
             this->now < end; this->now += 100ms)
        {
            for (auto& instance : this->instances)
            {
                if (!this->is_silent(instance.members().self().address))
                    this->send(instance, instance.handle_timer(this->now));
            }
        }
    }

    bool is_silent(const std::string& address) const
    {
        return std::ranges::find(this->silent, address) != this->silent.end();
    }

    // State of member `of` as instance `at` sees it; dead when unknown.
    member_state state(unsigned at, unsigned of) const
    {
        const auto* found = this->instances[at].members().find(address(of));
        return found == nullptr ? member_state::dead : found->state;
    }

    std::deque<membership> instances;
    std::vector<std::string> silent;
    time_point now = start;

private:
    // Stands in for the document store, which would fetch the document.
    void take_newer_document(membership& behind, const membership& other) const
    {
        const auto& key = other.members().self().document;
        if (behind.members().self().document < key)
            behind.set_document_key(key, this->now);
    }

    void send(membership& from, std::vector<membership::exchange> exchanges)
    {
        for (unsigned exchange_count = 0;
             !exchanges.empty() && exchange_count < 8; ++exchange_count)
        {
            const auto next = exchanges.back();
            exchanges.pop_back();
            const auto target =
                std::ranges::find(this->instances, next.address,
                                  [](const membership& instance) {
                                      return instance.members().self().address;
                                  });
            if (target == this->instances.end() ||
                this->is_silent(next.address))
            {
                from.handle_no_answer(next.address, this->now);
                continue;
            }
            const auto reply = target->handle_exchange(next.message, this->now);
            this->take_newer_document(*target, from);
            this->take_newer_document(from, *target);
            if (auto follow_up =
                    from.handle_reply(next.address, reply, this->now))
                exchanges.push_back(std::move(*follow_up));
        }
    }
};

}

// Guards against tables that depend on the order in which records arrive.
TEST_CASE("precedence is by epoch, then state, then nonce")
{
    struct row
    {
        member_record record;
        member_record known;
        bool has_precedence;
    };
    using enum member_state;
    const row rows[] = {
        {record_of("a", 2, alive), record_of("a", 1, dead), true},
        {record_of("a", 1, dead), record_of("a", 2, alive), false},
        {record_of("a", 1, suspect), record_of("a", 1, alive), true},
        {record_of("a", 1, leaving), record_of("a", 1, suspect), true},
        {record_of("a", 1, dead), record_of("a", 1, leaving), true},
        {record_of("a", 1, alive, 2), record_of("a", 1, alive, 1), true},
        {record_of("a", 1, alive, 1), record_of("a", 1, alive, 1), false},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.record.epoch);
        CHECK(takes_precedence(row.record, row.known) == row.has_precedence);
        member_table table(record_of("self"), {});
        table.merge(row.known, record_origin::update, start);
        table.merge(row.record, record_origin::update, start);
        // A dead member that was never known is not added.
        const auto& expected = row.has_precedence ? row.record : row.known;
        const auto* found = table.find("a");
        CHECK((found != nullptr && *found == expected) ==
              (expected.state != dead || row.known.state != dead));
    }
}

// Guards against an instance that stays suspect, or is confused with its
// predecessor on the same address.
TEST_CASE("an instance raises its epoch over every claim about its address")
{
    using enum member_state;
    struct row
    {
        member_record claim;
        std::uint64_t epoch;
    };
    const row rows[] = {
        {record_of("self", 100, suspect), 101},
        {record_of("self", 100, dead), 101},
        {record_of("self", 250, alive), 251},
        {record_of("self", 99, dead), 100},
        {record_of("self", 100, alive, 2), 101},
        {record_of("self", 99, alive, 2), 100},
        {record_of("self", 700, dead, 2), 701},
        {record_of("self", max_epoch + 1, dead), 100},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.claim.epoch);
        member_table table(record_of("self"), {});
        table.merge(row.claim, record_origin::update, start);
        CHECK(table.self().epoch == row.epoch);
        CHECK(table.self().state == alive);
        CHECK(table.self().nonce.value == 1);
    }
}

// Guards against members that never discover each other or keep different
// tables.
TEST_CASE("members find each other through the seeds")
{
    small_fleet fleet(9);
    fleet.play(10);
    for (const auto& instance : fleet.instances)
    {
        CHECK(instance.members().size() == 9);
        CHECK(instance.members().digest() ==
              fleet.instances[0].members().digest());
        CHECK(instance.members().live_addresses().size() == 9);
    }
}

// Guards against a failed instance that stays a member, a live one that is
// removed, and a replacement that is mistaken for the dead one.
TEST_CASE("silent members become suspect, dead and are replaced")
{
    small_fleet fleet(5);
    fleet.play(10);
    fleet.silent = {small_fleet::address(4)};
    fleet.play(20);
    for (unsigned at = 0; at < 4; ++at)
        CHECK(fleet.state(at, 4) == member_state::dead);
    // The clock of the replacement is behind.
    fleet.silent.clear();
    fleet.instances[4] = small_fleet::make(4, 50, 2);
    fleet.play(20);
    for (unsigned at = 0; at < 4; ++at)
    {
        CHECK(fleet.state(at, 4) == member_state::alive);
        CHECK(fleet.instances[at]
                  .members()
                  .find(small_fleet::address(4))
                  ->nonce.value == 2);
    }
    CHECK(fleet.instances[4].members().size() == 5);
}

// Guards against partitions that stay separate after the network has healed
// because each has marked the other dead.
TEST_CASE("partitions of a fleet find each other again")
{
    small_fleet fleet(4);
    fleet.play(10);
    auto other = fleet;
    fleet.silent = {small_fleet::address(2), small_fleet::address(3)};
    other.silent = {small_fleet::address(0), small_fleet::address(1)};
    fleet.play(60);
    other.play(60);
    CHECK(fleet.state(0, 3) == member_state::dead);
    CHECK(other.state(3, 0) == member_state::dead);
    fleet.silent.clear();
    fleet.instances[2] = other.instances[2];
    fleet.instances[3] = other.instances[3];
    fleet.play(30);
    for (unsigned at = 0; at < 4; ++at)
        CHECK(fleet.instances[at].members().live_addresses().size() == 4);
}

// Guards against a leaving instance that is still given work or seen as
// failed.
TEST_CASE("a leaving instance is announced and later removed")
{
    small_fleet fleet(4);
    fleet.play(10);
    fleet.instances[3].set_leaving(fleet.now);
    fleet.play(3);
    for (unsigned at = 0; at < 4; ++at)
    {
        CHECK(fleet.state(at, 3) == member_state::leaving);
        CHECK(fleet.instances[at].members().live_addresses().size() == 3);
    }
    fleet.silent = {small_fleet::address(3)};
    fleet.play(20);
    CHECK(fleet.state(0, 3) == member_state::dead);
    fleet.play(660);
    CHECK(fleet.instances[0].members().find(small_fleet::address(3)) ==
          nullptr);
}

// Guards against tombstones that members copy from each other forever, and
// against a table that grows without bound.
TEST_CASE("the table is bounded")
{
    member_table table(record_of("self"), {.max_members = 3});
    for (const auto* address : {"a", "b", "c", "d"})
        table.merge(record_of(address), record_origin::update, start);
    CHECK(table.size() == 3);
    CHECK(table.find("d") == nullptr);
    member_table fresh(record_of("self"), {});
    fresh.merge(record_of("a", 1, member_state::dead), record_origin::update,
                start);
    CHECK(fresh.find("a") == nullptr);
}

// Guards against updates that are relayed forever: once all members know them,
// an exchange carries no records.
TEST_CASE("members with equal tables exchange only digests")
{
    small_fleet fleet(9);
    fleet.play(60);
    const auto idle_message =
        fleet.instances[0].make_exchange(small_fleet::address(1)).message;
    CHECK(idle_message.records.empty());
    CHECK_FALSE(
        fleet.instances[1].handle_exchange(idle_message, fleet.now).buckets);
}

// Guards against changes that wait for a regular round at each hop: a change
// must reach a fleet of 200 within 19 s, and one round takes 2 s there.
TEST_CASE("a document's key reaches every member in a few rounds")
{
    for (const unsigned size : {9U, 200U})
    {
        small_fleet fleet(size);
        fleet.play(30);
        fleet.instances[0].set_document_key({2, "a"}, fleet.now);
        int seconds = 0;
        const auto is_behind = [](const membership& instance)
        { return instance.members().self().document.serial < 2; };
        while (seconds < 60 && std::ranges::any_of(fleet.instances, is_behind))
        {
            fleet.play(1);
            ++seconds;
        }
        MESSAGE(size, " members: ", seconds, " s");
        CHECK(seconds <= 5);
    }
}

// Guards against other members being marked dead because this process was
// paused.
TEST_CASE("a pause restarts the time-outs of suspects")
{
    member_table table(record_of("self"), {});
    table.merge(record_of("a"), record_origin::update, start);
    table.suspect("a", start);
    table.restart_suspicions(start + 1min);
    table.expire(start + 1min + 4999ms);
    CHECK(table.find("a")->state == member_state::suspect);
    table.expire(start + 1min + 5s);
    CHECK(table.find("a")->state == member_state::dead);
}

// Guards against a joining instance that relays the whole table it received;
// its messages would stay full for hours in a large fleet.
TEST_CASE("records from the repair of a bucket are not relayed")
{
    struct origin_row
    {
        record_origin origin;
        std::size_t relayed;
    };
    for (const auto& row : {origin_row{record_origin::update, 1},
                            origin_row{record_origin::repair, 0}})
    {
        member_table table(record_of("self"), {});
        table.merge(record_of("a"), row.origin, start);
        std::mt19937_64 random(1);
        CHECK(table.take_updates("b", max_update_records, random).size() ==
              row.relayed);
        CHECK(table.find("a") != nullptr);
    }
}
