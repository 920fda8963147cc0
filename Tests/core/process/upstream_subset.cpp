#include "core/process/upstream_subset.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace wisteriahatch;

namespace
{

registered_upstream_ptr make_upstream(const std::string& id,
                                      const std::string& domain)
{
    auto entry = std::make_shared<registered_upstream>();
    entry->spec = {.id = id, .service = "s", .failure_domain = domain};
    return entry;
}

upstream_group make_group()
{
    return {make_upstream("i-1", "a"), make_upstream("i-2", "b"),
            make_upstream("i-3", "c")};
}

}

// Guards against instances that together hold more connections than their
// upstreams accept. On dialcraft-amman-grown, day trouble-1, servers reset
// 21,745 connections beyond their limit of 66 after all processes lost power.
TEST_CASE("the subset is as large as the upstreams' connections allow")
{
    struct scenario
    {
        std::size_t instances;
        unsigned max_connections;
        std::size_t size;
        fleet_view view = fleet_view::settled;
    };
    for (const auto& each :
         {scenario{9, 31, 3}, scenario{7, 26, 3}, scenario{69, 66, 1},
          scenario{61, 62, 1}, scenario{40, 66, 2}, scenario{4900, 66, 1},
          scenario{195, 125, 1}, scenario{5, 110, 1, fleet_view::settling}})
    {
        CAPTURE(each.instances);
        const upstream_subset subset(make_group(),
                                     {.instance = "10.0.0.1:80",
                                      .failure_domain = "a",
                                      .fleet = {each.instances, each.view},
                                      .max_connections = each.max_connections});
        CHECK(subset.size() == each.size);
        CHECK(subset.contains("i-1"));
    }
    CHECK(upstream_subset({}, {.instance = "10.0.0.1:80"}).size() == 0);
}

// Guards against instances without an upstream in their failure domain that
// all choose the same one, and against a subset that varies between calls.
TEST_CASE("instances without a local upstream spread over all upstreams")
{
    std::map<std::string, unsigned> chosen;
    const auto group = make_group();
    constexpr unsigned instances = 300;
    for (unsigned number = 0; number < instances; ++number)
    {
        const upstream_subset::options values{
            .instance = "10.0.0." + std::to_string(number),
            .failure_domain = "d",
            .fleet = {instances, fleet_view::settled},
            .max_connections = 100};
        const upstream_subset subset(group, values);
        for (const auto& each : group)
            if (subset.contains(each->spec.id))
            {
                ++chosen[each->spec.id];
                CHECK(upstream_subset(group, values).contains(each->spec.id));
            }
    }
    for (const auto& each : group)
    {
        CAPTURE(each->spec.id);
        // An even spread gives each 100.
        CHECK(chosen[each->spec.id] > 70);
        CHECK(chosen[each->spec.id] < 130);
    }
}

// Guards against a subset of upstreams that are about to shut down.
TEST_CASE("a leaving upstream is chosen only when there is no other")
{
    auto leaving = std::make_shared<registered_upstream>();
    leaving->spec = {.id = "i-1", .service = "s", .failure_domain = "a"};
    leaving->leaving_since = time_point{};
    const upstream_subset::options values{.instance = "x",
                                          .failure_domain = "a",
                                          .fleet = {69, fleet_view::settled},
                                          .max_connections = 66};
    CHECK(upstream_subset({leaving}, values).contains("i-1"));
    CHECK(upstream_subset({leaving, make_upstream("i-2", "b")}, values)
              .contains("i-2"));
}
