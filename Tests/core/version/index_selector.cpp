#include "core/version/index_selector.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace wisteriahatch;

// Guards against choosing a new version before every group can serve it, and
// against staying on an old one that some group no longer serves.
TEST_CASE("the newest version that every shard can serve is chosen")
{
    using versions = std::vector<index_version>;
    struct scenario
    {
        const char* description;
        // Versions that the replica of each group holds; {0} for unknown.
        versions first, second;
        std::uint64_t excluded, chosen;
        std::size_t servable;
    };
    const scenario scenarios[] = {
        {"all hold both", {{1}, {2}}, {{1}, {2}}, 0, 2, 2},
        {"versions unknown", {{0}}, {{0}}, 0, 2, 2},
        {"roll-out under way", {{1}, {2}}, {{1}}, 0, 1, 2},
        {"unknown counts as held", {{2}}, {{0}}, 0, 2, 2},
        {"most shards", {{1}}, {}, 0, 1, 1},
        {"newest on ties", {{1}}, {{2}}, 0, 2, 1},
        {"excluded version", {{1}, {2}}, {{1}, {2}}, 2, 1, 2},
        {"none held", {}, {}, 0, 2, 0},
    };
    const time_point now{std::chrono::seconds(1000)};
    const std::vector<shard_spec> shards{{"s0", 0}, {"s1", 1}};
    const service_spec service{
        .groups = {{.name = "0", .replicas = {{.name = "a"}}},
                   {.name = "1", .replicas = {{.name = "b"}}}},
        .indexes = {{.version = {2}, .shards = shards},
                    {.version = {1}, .shards = shards}}};
    for (const auto& entry : scenarios)
    {
        CAPTURE(std::string(entry.description));
        upstream_table table;
        for (const auto& [name, held] :
             {std::pair("a", entry.first), std::pair("b", entry.second)})
        {
            auto state = std::make_shared<upstream_state>(name, "d", now);
            if (held != versions{{0}})
                state->set_versions(held);
            table.emplace(name, state);
        }
        const auto excluded =
            entry.excluded == 0 ? std::nullopt
                                : std::optional(index_version{entry.excluded});
        const auto choice = select_index(service, table, now, excluded);
        REQUIRE(choice.index != nullptr);
        CHECK(choice.index->version.value == entry.chosen);
        CHECK(choice.servable_shards == entry.servable);
    }
    CHECK(select_index({}, {}, now).index == nullptr);
}
