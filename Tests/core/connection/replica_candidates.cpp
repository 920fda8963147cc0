#include "core/connection/replica_candidates.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against a network failure that ejects a whole group, and against
// requests to replicas that are draining or have no address.
TEST_CASE("at most a third of a group is ejected, and never all of it")
{
    struct scenario
    {
        unsigned replicas, ejected, draining, absent;
        std::size_t usable, still_ejected;
    };
    const scenario scenarios[] = {{3, 0, 0, 0, 3, 0}, {3, 1, 0, 0, 2, 1},
                                  {3, 2, 0, 0, 2, 1}, {3, 3, 0, 0, 2, 1},
                                  {1, 1, 0, 0, 1, 0}, {3, 1, 2, 0, 1, 0},
                                  {3, 1, 1, 1, 1, 0}, {3, 0, 3, 0, 0, 0},
                                  {3, 2, 1, 0, 1, 1}, {20, 10, 0, 0, 13, 7}};
    const time_point now{std::chrono::seconds(1000)};
    for (const auto& entry : scenarios)
    {
        CAPTURE(entry.ejected);
        CAPTURE(entry.draining);
        group_spec group;
        upstream_table table;
        for (unsigned number = 0; number < entry.replicas; ++number)
        {
            const std::string name = std::to_string(number);
            group.replicas.push_back({.name = name});
            auto state = std::make_shared<upstream_state>(name, "d", now);
            for (unsigned time = 0; number < entry.ejected && time < 5; ++time)
                state->record_failure(std::chrono::seconds(1), now);
            const unsigned last = entry.replicas - 1 - number;
            state->set_draining(last < entry.draining);
            if (last < entry.draining || last >= entry.draining + entry.absent)
                table.emplace(name, state);
        }
        const auto found = replica_candidates::find(group, table, now);
        CHECK(found.usable.size() == entry.usable);
        CHECK(found.ejected.size() == entry.still_ejected);
    }
}
