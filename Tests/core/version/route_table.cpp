#include "core/version/route_table.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

namespace
{

route_spec make_route(const char* name, const char* host, const char* prefix)
{
    route_spec route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.services = {{.service = "s"}};
    return route;
}

}

// Guards against a request that goes to a route with a shorter prefix, to
// another host's route, or to a route whose prefix ends within a path segment.
TEST_CASE("a request goes to its host's route with the longest prefix")
{
    const route_table table(
        {.version = 3,
         .routes = {make_route("short", "one.example", "/a/"),
                    make_route("long", "one.example", "/a/b/"),
                    make_route("root", "two.example", "/")}});
    struct scenario
    {
        const char* host;
        const char* target;
        // Empty if no route matches.
        const char* route;
    };
    for (const auto& [host, target, route] :
         {scenario{"one.example", "/a/x", "short"},
          scenario{"one.example", "/a/b/x?q=/a/", "long"},
          scenario{"one.example", "/a/b/", "long"},
          scenario{"one.example", "/a/b", "short"},
          scenario{"ONE.example:8080", "/a/b/c/d", "long"},
          scenario{"one.example", "/ab/x", ""},
          scenario{"one.example", "/a", ""}, scenario{"one.example", "", ""},
          scenario{"one.example", "/x?y=/a/b/", ""},
          scenario{"two.example", "/anything", "root"},
          scenario{"three.example", "/a/x", ""}, scenario{"", "/a/x", ""}})
    {
        CAPTURE(host);
        CAPTURE(target);
        const auto* found = table.find(host, target);
        CHECK((found == nullptr ? std::string() : found->name) == route);
    }
}
