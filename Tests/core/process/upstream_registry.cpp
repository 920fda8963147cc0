#include "core/process/upstream_registry.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

upstream_spec make_spec(const char* id, const char* address = "10.0.0.1:80")
{
    return {.id = id, .service = "s", .address = address, .start = {1}};
}

const time_point start = time_point{} + 1h;

}

// Guards against a service that loses all its upstreams when their entries
// expire in an outage of the store, and against requests to an upstream that
// has stopped.
TEST_CASE("a removed upstream stays as a last resort for a grace period")
{
    upstream_registry registry;
    CHECK(registry.set(make_spec("u"), start));
    CHECK(registry.remove("u", start + 1s));
    REQUIRE(registry.group("s").size() == 1);
    CHECK(registry.group("s")[0]->leaving_since == start + 1s);
    CHECK(registry.listed().empty());
    CHECK(registry.next_expiry() == start + 1s + registry.leaving_grace);
    CHECK_FALSE(registry.expire(start + 2s));
    SUBCASE("its entry reappears")
    {
        const auto state = registry.group("s")[0]->state;
        CHECK(registry.set(make_spec("u"), start + 2s));
        CHECK_FALSE(registry.group("s")[0]->leaving_since);
        CHECK(registry.group("s")[0]->state == state);
        CHECK_FALSE(registry.expire(start + 1h));
    }
    SUBCASE("its entry does not reappear")
    {
        CHECK(registry.expire(start + 3s));
        CHECK(registry.group("s").empty());
        CHECK(registry.all().empty());
    }
}

// Guards against a draining upstream whose grace period restarts each time its
// entry is read, so that it gets requests until it stops.
TEST_CASE("the grace period starts when draining is first reported")
{
    upstream_registry registry;
    auto spec = make_spec("u");
    registry.set(spec, start);
    spec.is_draining = true;
    CHECK(registry.set(spec, start + 1s));
    CHECK_FALSE(registry.set(spec, start + 2s));
    CHECK(registry.group("s")[0]->leaving_since == start + 1s);
    CHECK(registry.expire(start + 3s));
    CHECK_FALSE(registry.set(spec, start + 4s));
    CHECK(registry.group("s").empty());
}

// Guards against observations of one process that are applied to the next one
// with its address or id, and against needless rebuilds of the views.
TEST_CASE("observations are kept for one start of an upstream")
{
    struct scenario
    {
        const char* name;
        upstream_spec next;
        bool has_changed;
        bool is_same_state;
    };
    auto same = make_spec("u");
    auto warmer = make_spec("u");
    warmer.warm_up_left = 500ms;
    auto restarted = make_spec("u");
    restarted.start = {2};
    auto moved = make_spec("u", "10.0.0.2:80");
    auto other_service = make_spec("u");
    other_service.service = "t";
    auto larger = make_spec("u");
    larger.slots = 9;
    for (const auto& [name, next, has_changed, is_same_state] :
         {scenario{"same", same, false, true},
          scenario{"warm-up", warmer, false, true},
          scenario{"restarted", restarted, true, false},
          scenario{"moved", moved, true, false},
          scenario{"other service", other_service, true, false},
          scenario{"larger", larger, true, true}})
    {
        CAPTURE(name);
        upstream_registry registry;
        registry.set(make_spec("u"), start);
        const auto state = registry.all().at("u")->state;
        CHECK(registry.set(next, start + 1s) == has_changed);
        CHECK((registry.all().at("u")->state == state) == is_same_state);
        CHECK(registry.group(next.service).size() == 1);
    }
}

// Guards against upstreams that stay although a complete list lacks them.
TEST_CASE("a complete list removes the upstreams that it lacks")
{
    upstream_registry registry;
    registry.replace_all({make_spec("a"), make_spec("b")}, start);
    CHECK(registry.replace_all({make_spec("b"), make_spec("c")}, start + 1s));
    CHECK(registry.all().at("a")->leaving_since);
    CHECK_FALSE(registry.all().at("b")->leaving_since);
    CHECK(registry.listed().size() == 2);
    CHECK_FALSE(
        registry.replace_all({make_spec("b"), make_spec("c")}, start + 2s));
}
