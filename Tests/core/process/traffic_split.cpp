#include "core/process/traffic_split.hpp"

#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace wisteriahatch;

// Guards against a service whose share of 100 requests differs from its weight.
TEST_CASE("services get requests in proportion to their weights")
{
    struct scenario
    {
        std::vector<weighted_service> services;
        std::map<std::string, unsigned> expected;
    };
    for (const auto& [services, expected] :
         std::vector<scenario>{{{{"a", 1}}, {{"a", 100}}},
                               {{{"a", 1}, {"b", 3}}, {{"a", 25}, {"b", 75}}},
                               {{{"a", 0.7}, {"b", 0.2}, {"c", 0.1}},
                                {{"a", 70}, {"b", 20}, {"c", 10}}},
                               {{{"a", 0}, {"b", 5}}, {{"b", 100}}},
                               {{{"a", -1}, {"b", 5}}, {{"b", 100}}}})
    {
        traffic_split split;
        route_spec route;
        route.name = "r";
        route.services = services;
        std::map<std::string, unsigned> counts;
        for (unsigned request = 0; request < 100; ++request)
            ++counts[split.choose(route)];
        for (const auto& [service, count] : expected)
        {
            CAPTURE(service);
            CHECK(counts[service] >= count - 1);
            CHECK(counts[service] <= count + 1);
        }
        CHECK(counts.size() == expected.size());
    }
}
