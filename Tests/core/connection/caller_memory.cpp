#include "core/connection/caller_memory.hpp"

#include "core/property.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

using drop_cause = caller_memory::drop_cause;

constexpr std::size_t overhead = caller_memory::connection_bytes;
constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
const time_point start = time_point{} + 1h;

enum class stage : std::uint8_t
{
    unused,
    reading,
    serving,
    replying,
    idle,
};

// A connection that entered its stage `age` ago and last received or wrote
// bytes `quiet` ago.
struct member
{
    stage where;
    std::size_t bytes;
    duration age{0};
    duration quiet{0};
    // Bytes of the reply that have been written at that time.
    std::size_t written = 0;
};

struct account
{
    explicit account(std::size_t limit)
        : memory({.max_bytes = limit,
                  .handle_drops = [this](const caller_memory::counts&)
                  { ++this->reports; }})
    {
    }

    void add(const member& each)
    {
        const auto index = this->told.size();
        this->told.push_back(0);
        auto& added = this->connections.emplace_back(
            this->memory, this, [this, index] { ++this->told[index]; },
            start - each.age);
        if (each.where == stage::unused)
            return;
        added.begin_request(0, 0, start - each.age);
        added.record_read(each.bytes, each.bytes, start - each.quiet);
        if (each.where == stage::reading ||
            !added.begin_serving(each.bytes, start))
            return;
        if (each.where == stage::replying)
            added.begin_reply(each.bytes, start - each.age);
        if (each.written > 0)
            added.record_write(each.written, start - each.quiet);
        if (each.where == stage::idle)
            added.end_request(each.bytes, start - each.quiet);
    }

    unsigned reports = 0;
    std::vector<unsigned> told;
    caller_memory memory;
    std::deque<caller_memory::reservation> connections;
};

}

// Guards against callers that fill the memory with unfinished requests, and
// against complete requests, young bodies and idle connections that are dropped
// in their place.
TEST_CASE("the connection with the least progress is dropped")
{
    struct scenario
    {
        const char* what;
        std::vector<member> members;
        // Index of the connection that is dropped; -1 for none.
        int dropped;
    };
    const member stalled{stage::reading, 100'000, 5s, 4s};
    const member served{stage::serving, 900'000};
    for (const auto& each : std::vector<scenario>{
             {"within the limit", {stalled, {stage::reading, 700'000}}, -1},
             {"a stalled body goes before a young one",
              {{stage::reading, 500'000, 10ms},
               stalled,
               {stage::reading, 450'000}},
              1},
             {"an old body that proceeds stays",
              {{stage::reading, 300'000, 5s, 0s},
               stalled,
               {stage::reading, 650'000}},
              1},
             {"the larger of two stalled bodies",
              {stalled,
               {stage::reading, 200'000, 5s, 4s},
               {stage::reading, 720'000}},
              1},
             {"an unread reply",
              {{stage::replying, 400'000, 3s}, {stage::reading, 640'000}},
              0},
             {"an unread reply goes before one that is being read",
              {{stage::replying, 500'000, 5s, 0s, 8'000},
               {stage::replying, 400'000, 3s},
               {stage::reading, 140'000}},
              1},
             {"a reply whose peer has stopped reading",
              {{stage::replying, 400'000, 5s, 4s, 8'000},
               {stage::reading, 640'000}},
              0},
             {"an idle connection stays",
              {{stage::idle, 4'000, 30s, 30s}, stalled, served},
              1},
             {"a new body when complete requests fill the memory",
              {served, {stage::reading, 120'000}},
              1},
             {"a body goes before a connection that has just been opened",
              {{stage::unused, 0, 10ms}, stalled, {stage::reading, 930'000}},
              1},
             {"a connection that has sent nothing",
              {{stage::unused, 0, 9s}, {stage::idle, 1'010'000}},
              0}})
    {
        CAPTURE(each.what);
        account tested(1'024'000);
        for (const auto& added : each.members)
            tested.add(added);
        for (std::size_t index = 0; index < each.members.size(); ++index)
        {
            const bool is_expected = static_cast<int>(index) == each.dropped;
            CHECK(tested.told[index] == (is_expected ? 1 : 0));
            CHECK((tested.connections[index].cause() == drop_cause::memory) ==
                  is_expected);
        }
        CHECK(tested.memory.current().dropped == (each.dropped < 0 ? 0 : 1));
        CHECK(tested.reports == (each.dropped < 0 ? 0 : 1));
    }
}

// Guards against a dropped request that is served, and against log lines that
// grow with the number of dropped connections.
TEST_CASE("a dropped request is not served")
{
    account tested(100'000);
    for (unsigned number = 0; number < 20; ++number)
        tested.add({stage::reading, 50'000, 1s, 1s});
    CHECK(tested.memory.current().dropped > 10);
    CHECK(tested.reports == 1);
    for (auto& each : tested.connections)
        CHECK(each.begin_serving(50'000, start) ==
              (each.cause() == drop_cause::none));
    CHECK(tested.memory.current().held_bytes <= 100'000);
}

// Guards against complete requests that fill the memory because none of them is
// ever refused, and against one that is refused while stalled ones hold memory.
TEST_CASE("a complete request is refused when others fill the memory")
{
    struct scenario
    {
        const char* what;
        std::vector<member> others;
        std::size_t bytes;
        // What serving the request takes besides it.
        std::size_t extension;
        bool is_served;
        bool is_extended;
    };
    const member served{stage::serving, 700'000};
    const member stalled{stage::reading, 250'000, 5s, 4s};
    for (const auto& each : std::vector<scenario>{
             {"with room", {served}, 200'000, 50'000, true, true},
             {"no room", {served}, 400'000, 0, false, false},
             {"no room for what it takes",
              {served},
              200'000,
              300'000,
              true,
              false},
             {"instead of a stalled one",
              {served, stalled},
              200'000,
              0,
              true,
              true},
             {"its legs instead of a stalled one",
              {served, {stage::reading, 50'000, 5s, 4s}},
              200'000,
              60'000,
              true,
              true}})
    {
        CAPTURE(each.what);
        account tested(1'024'000);
        for (const auto& added : each.others)
            tested.add(added);
        tested.add({stage::unused, 0});
        auto& asked = tested.connections.back();
        asked.begin_request(0, 0, start);
        CHECK(asked.begin_serving(each.bytes, start) == each.is_served);
        CHECK((asked.cause() == drop_cause::none) == each.is_served);
        const auto before = tested.memory.current().held_bytes;
        CHECK(asked.extend_request(each.extension, start) == each.is_extended);
        if (!each.is_extended)
            CHECK(tested.memory.current().held_bytes == before);
        CHECK(tested.memory.current().held_bytes <= 1'024'000);
        CHECK(tested.connections.front().cause() == drop_cause::none);
    }
}

// Guards against connections that send nothing, read nothing or stay idle and
// keep new callers out, and against closing those that serve requests, may have
// had no time to read, or belong to another server.
TEST_CASE("a new connection displaces the least useful one")
{
    struct scenario
    {
        const char* what;
        std::vector<member> members;
        int displaced;
    };
    for (const auto& each : std::vector<scenario>{
             {"none", {}, -1},
             {"all are in use or have just been",
              {{stage::serving, 10, 9s},
               {stage::replying, 10, 1ms},
               {stage::idle, 10, 9s, 1ms}},
              -1},
             {"one that has sent nothing goes before an unread reply",
              {{stage::replying, 10, 9ms}, {stage::unused, 0, 1ms}},
              1},
             {"an unread reply goes before one that has just been opened",
              {{stage::replying, 10, 9s}, {stage::unused, 0, 1ms}},
              0},
             {"the older one",
              {{stage::unused, 0, 1s}, {stage::unused, 0, 2s}},
              1},
             {"an unfinished request goes before an empty connection",
              {{stage::reading, 10, 9s, 9s}, {stage::unused, 0, 1s}},
              0},
             {"a reply that nobody reads goes before an idle connection",
              {{stage::idle, 10, 9s, 9s}, {stage::replying, 10, 9s}},
              1},
             {"a reply that is being read stays",
              {{stage::replying, 10, 9s, 0s, 10}, {stage::idle, 10, 9s, 9s}},
              1},
             {"the one that has been idle longest",
              {{stage::idle, 10, 9s, 1s},
               {stage::idle, 10, 9s, 5s},
               {stage::serving, 10, 9s}},
              1}})
    {
        CAPTURE(each.what);
        account tested(SIZE_MAX);
        for (const auto& added : each.members)
            tested.add(added);
        CHECK(!tested.memory.displace_connection(nullptr, start));
        CHECK(tested.memory.displace_connection(&tested, start) ==
              (each.displaced >= 0));
        for (std::size_t index = 0; index < each.members.size(); ++index)
            CHECK(
                (tested.connections[index].cause() == drop_cause::displaced) ==
                (static_cast<int>(index) == each.displaced));
    }
}

// Guards against buffers for large messages that a crowd takes for itself until
// nothing is left for requests, and that are not counted.
TEST_CASE("a connection is extended while the memory is at most half full")
{
    struct scenario
    {
        const char* what;
        member other;
        std::size_t bytes;
        bool is_extended;
    };
    const member half{stage::reading, 500'000};
    for (const auto& each : std::vector<scenario>{
             {"with room", {stage::reading, 10'000}, 400'000, true},
             {"beyond the half", half, 40'000, false},
             {"up to the half", half, 1'000, true}})
    {
        CAPTURE(each.what);
        account tested(1'040'000);
        tested.add(each.other);
        tested.add({stage::idle, 0});
        auto& connection = tested.connections.back();
        const auto before = tested.memory.current().held_bytes;
        const auto added = each.is_extended ? each.bytes : 0;
        CHECK(connection.extend_connection(each.bytes) == each.is_extended);
        CHECK(tested.memory.current().held_bytes == before + added);
        connection.end_request(0, start);
        CHECK(tested.memory.current().held_bytes == before + added);
        tested.connections.pop_back();
        CHECK(tested.memory.current().held_bytes ==
              before - caller_memory::connection_bytes);
    }
}

// Guards against an account that leaks or becomes negative: connections open,
// read, are served, dropped and closed in any order.
TEST_CASE("the account equals what its connections hold")
{
    struct held
    {
        std::unique_ptr<caller_memory::reservation> connection;
        std::size_t bytes = 0;
        std::size_t extension = 0;
        // Serving or idle.
        bool is_complete = false;
    };
    const bool is_kept = rc::check(
        [](const std::vector<unsigned>& decisions)
        {
            choices random(decisions);
            constexpr std::size_t limit = 200'000;
            caller_memory memory({.max_bytes = limit});
            auto now = start;
            std::vector<held> open;
            for (std::size_t step = 0; step < decisions.size(); ++step)
            {
                now += random.below(300) * 1ms;
                if (open.empty() || random.below(4) == 0)
                    open.push_back(
                        {std::make_unique<caller_memory::reservation>(
                            memory, nullptr, [] {}, now)});
                auto& chosen = open[random.below(open.size())];
                auto& connection = *chosen.connection;
                const auto action = random.below(8);
                const std::size_t size = random.below(100'000);
                if (action < 5)
                {
                    chosen.bytes = size;
                    chosen.is_complete = action == 2 || action == 4;
                }
                if (action == 0)
                    connection.begin_request(size, size, now);
                else if (action == 1)
                    connection.record_read(size, size, now);
                else if (action == 2)
                    chosen.is_complete = connection.begin_serving(size, now);
                else if (action == 3)
                    connection.begin_reply(size, now);
                else if (action == 4)
                    connection.end_request(size, now);
                else if (action == 5)
                    memory.displace_connection(nullptr, now);
                else if (action == 6)
                    chosen.extension +=
                        connection.extend_connection(size) ? size : 0;
                else
                {
                    std::swap(chosen, open.back());
                    open.pop_back();
                }
                std::size_t expected = 0;
                bool has_complete = false;
                for (const auto& each : open)
                {
                    if (each.connection->cause() != drop_cause::none)
                        continue;
                    expected += overhead + each.extension + each.bytes;
                    has_complete |= each.is_complete;
                }
                const auto total = memory.current().held_bytes;
                require(total == expected, "the account is exact");
                require(action > 0 || has_complete || total <= limit,
                        "unfinished requests stay within the limit");
            }
            open.clear();
            require(memory.current().held_bytes == 0, "nothing is left");
        });
    CHECK(is_kept);
}

// Guards against a limit that exceeds the machine's memory or refuses ordinary
// callers of a machine whose size is not known.
TEST_CASE("the budget follows the machine")
{
    struct scenario
    {
        std::size_t memory_mb;
        std::size_t descriptors;
        std::size_t max_mebibytes;
        std::size_t connections;
    };
    for (const auto& each : std::vector<scenario>{{0, 0, 38, 4096},
                                                  {160, 4100, 38, 2050},
                                                  {512, 8192, 179, 4096},
                                                  {80, 512, 6, 256},
                                                  {10, 1, 4, 1}})
    {
        const auto budget =
            derive_caller_budget(each.memory_mb, each.descriptors);
        CHECK(budget.max_bytes / mebibyte == each.max_mebibytes);
        CHECK(budget.caller_connections == each.connections);
        CHECK(budget.peer_connections >= 1);
        CHECK(budget.probe_connections >= 1);
        // Probes come to two addresses.
        const auto all = budget.caller_connections + budget.peer_connections +
                         2 * budget.probe_connections +
                         budget.upstream_connections;
        CHECK((each.descriptors < 16 || all < each.descriptors));
    }
}
