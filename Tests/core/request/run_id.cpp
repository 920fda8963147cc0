#include "core/request/run_id.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against ids that change when a caller sends them back.
TEST_CASE("run ids survive a round trip")
{
    for (const auto* text : {"10.0.0.1:7001/0/1", "[::1]:7/ff12/77",
                             "h-1:1/ffffffffffffffff/18446744073709551615"})
    {
        CAPTURE(text);
        const auto id = parse_run_id(text);
        REQUIRE(id);
        CHECK(to_string(id.value()) == text);
    }
}

// Guards against accepting arbitrary untrusted text as an id.
TEST_CASE("malformed run ids are refused")
{
    for (const auto* text :
         {"", "/", "//", "a:1/1", "a:1/1/", "a:1/1/0", "a:1//1", "/1/1",
          "a:1/1/-1", "a:1/1/1x", "a:1/g/1", "a:1/1/1/1", "a b/1/1",
          "a\n:1/1/1", "a:1/10000000000000000/1", "a:1/1/18446744073709551616"})
    {
        CAPTURE(text);
        const auto id = parse_run_id(text);
        REQUIRE_FALSE(id);
        CHECK(id.error().kind == error_kind::invalid_run_id);
    }
    CHECK_FALSE(parse_run_id(std::string(65, '1') + "/1/1"));
}
