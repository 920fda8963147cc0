#include "core/connection/reply_memory.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace wisteriahatch;

namespace
{

constexpr std::size_t limit = 1000;

// Replies that are being received, and how often each was told that it is given
// up.
struct reply_fixture
{
    explicit reply_fixture(std::size_t count)
        : told(count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->replies.emplace_back(this->memory,
                                       [this, index] { ++this->told[index]; });
    }

    reply_memory memory{limit};
    std::vector<unsigned> told;
    std::deque<reply_memory::reservation> replies;
};

}

// Guards against an instance that exceeds its memory and is killed because many
// upstreams send replies without end (rule Fault, case 3 of the review), and
// against small replies that are given up in their place.
TEST_CASE("the largest replies are given up")
{
    struct scenario
    {
        const char* what;
        std::vector<std::size_t> sizes;
        std::vector<std::size_t> given_up;
        std::size_t held;
    };
    for (const auto& each : std::vector<scenario>{
             {"within the limit", {400, 300, 300}, {}, 1000},
             {"the one that grew last", {300, 300, 401}, {2}, 600},
             {"an earlier one", {600, 300, 200}, {0}, 500},
             {"several", {400, 400, 200, 900}, {3}, 1000},
             {"larger than the limit", {1001}, {0}, 0},
             {"one after the other", {600, 500, 400}, {0}, 900}})
    {
        CAPTURE(each.what);
        reply_fixture fixture(each.sizes.size());
        for (std::size_t index = 0; index < each.sizes.size(); ++index)
            fixture.replies[index].resize(each.sizes[index]);
        for (std::size_t index = 0; index < each.sizes.size(); ++index)
        {
            const bool is_expected =
                std::ranges::find(each.given_up, index) != each.given_up.end();
            CHECK(fixture.replies[index].is_given_up() == is_expected);
            // The reply that grows learns it from is_given_up().
            CHECK(fixture.told[index] <= (is_expected ? 1 : 0));
        }
        CHECK(fixture.memory.held_bytes() == each.held);
    }
}

// Guards against a count that drifts: replies start, grow, end and are given up
// in any order.
TEST_CASE("the bytes held never exceed the limit")
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        reply_memory memory(limit);
        struct reply
        {
            std::unique_ptr<reply_memory::reservation> held;
            std::size_t size = 0;
        };
        std::vector<reply> replies;
        for (unsigned step = 0; step < 300; ++step)
        {
            if (replies.empty() || random() % 3 == 0)
                replies.push_back(
                    {.held = std::make_unique<reply_memory::reservation>(
                         memory, [] {})});
            else if (random() % 4 == 0)
                replies.erase(replies.begin());
            else
            {
                auto& grown = replies[random() % replies.size()];
                grown.size += random() % 300;
                grown.held->resize(grown.size);
            }
            std::size_t expected = 0;
            for (const auto& each : replies)
                expected += each.held->is_given_up() ? 0 : each.size;
            CHECK(memory.held_bytes() == expected);
            CHECK(memory.held_bytes() <= limit);
        }
    }
}
