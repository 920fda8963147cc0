#include "core/process/connection_share.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

using namespace wisteriahatch;

// Guards against instances that together open more connections than an upstream
// accepts, and against an instance that may open none.
TEST_CASE("an upstream's connections are divided among the instances")
{
    struct scenario
    {
        unsigned max_connections, slots;
        std::size_t instances;
        unsigned share;
        fleet_view view = fleet_view::settled;
    };
    for (const auto& each :
         {scenario{31, 3, 9, 2}, scenario{26, 2, 7, 2}, scenario{110, 2, 9, 3},
          scenario{66, 4, 69, 1}, scenario{31, 3, 80, 1}, scenario{31, 3, 0, 4},
          scenario{0, 0, 9, 1}, scenario{800, 0, 9, 1},
          scenario{125, 3, 195, 1},
          scenario{110, 2, 9, 1, fleet_view::settling},
          scenario{800, 3, 2, 2, fleet_view::settling},
          scenario{800, 3, 900, 1, fleet_view::settling}})
    {
        CAPTURE(each.max_connections);
        CAPTURE(each.instances);
        CHECK(connection_share({.max_connections = each.max_connections,
                                .slots = each.slots,
                                .fleet = {each.instances, each.view}}) ==
              each.share);
    }
}

// Guards against connections to many upstreams that use up the descriptors of
// the process, and against an upstream that gets none.
TEST_CASE("the shares of all upstreams fit into the descriptors")
{
    struct scenario
    {
        unsigned share;
        std::size_t total, max_total;
        unsigned reduced;
    };
    for (const auto& each :
         {scenario{33, 33, 192, 33}, scenario{33, 192, 192, 33},
          scenario{33, 1188, 192, 5}, scenario{1, 1188, 192, 1},
          scenario{4, 400, 100, 1}, scenario{3, 5000, 192, 1}})
    {
        CAPTURE(each.total);
        CHECK(reduce_share(each.share, each.total, each.max_total) ==
              each.reduced);
    }
}
