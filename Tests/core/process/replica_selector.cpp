#include "core/process/replica_selector.hpp"

#include <array>
#include <doctest/doctest.h>
#include <map>
#include <vector>

using namespace wisteriahatch;
using std::chrono::milliseconds;

// Guards against selectors that keep choosing a slow or busy replica, ignore
// the instance's failure domain, or send all requests to one of several equal
// replicas.
TEST_CASE("each selector distributes its choices as specified")
{
    struct replica
    {
        int latency;
        unsigned running;
        double load;
        std::string domain;
    };
    struct scenario
    {
        std::string selector_name;
        std::array<replica, 3> replicas;
        // Minimum and maximum times that each replica is chosen out of 3000.
        std::array<std::pair<unsigned, unsigned>, 3> chosen;
    };
    const replica plain{10, 0, 0, "far"}, slow{100, 0, 0, "far"},
        busy{10, 3, 0, "far"}, near{10, 0, 0, "near"}, loaded{10, 0, 9, "far"};
    const std::pair<unsigned, unsigned> third{900, 1100}, none{0, 0},
        half{1350, 1650}, two_thirds{1900, 2100}, all{3000, 3000}, any{0, 3000};
    const scenario scenarios[] = {
        {"random", {plain, slow, busy}, {third, third, third}},
        {"least_in_flight", {plain, slow, busy}, {any, any, none}},
        {"least_in_flight", {plain, near, plain}, {none, all, none}},
        {"least_in_flight", {busy, busy, plain}, {none, none, all}},
        {"two_choices", {plain, plain, plain}, {third, third, third}},
        {"two_choices", {plain, slow, plain}, {half, none, half}},
        {"two_choices", {busy, plain, plain}, {none, half, half}},
        {"two_choices", {plain, near, plain}, {any, two_thirds, any}},
        {"two_choices", {plain, loaded, plain}, {half, none, half}},
    };
    const time_point now{std::chrono::seconds(1000)};
    for (const auto& entry : scenarios)
    {
        CAPTURE(entry.selector_name);
        std::vector<std::unique_ptr<upstream_state>> states;
        std::vector<upstream_state*> candidates;
        for (const auto& [latency, running, load, domain] : entry.replicas)
        {
            auto& state = states.emplace_back(
                std::make_unique<upstream_state>("r", domain, now));
            state->record_success(milliseconds(latency), now);
            state->set_reported_load(load);
            for (unsigned count = 0; count < running; ++count)
                state->record_start({});
            candidates.push_back(state.get());
        }
        const auto selector = make_replica_selector(entry.selector_name);
        std::mt19937_64 random(1);
        std::map<upstream_state*, unsigned> counts;
        for (int choice = 0; choice < 3000; ++choice)
            ++counts[selector->choose(candidates, "near", now, random)];
        for (std::size_t index = 0; index < 3; ++index)
        {
            CAPTURE(index);
            CHECK(counts[candidates[index]] >= entry.chosen[index].first);
            CHECK(counts[candidates[index]] <= entry.chosen[index].second);
        }
        CHECK(selector->choose({}, "near", now, random) == nullptr);
    }
    CHECK(make_replica_selector("unknown") == nullptr);
}
