#include "core/base/json_fields.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against reading a field of the wrong type as a value.
TEST_CASE("the error for a field of the wrong type names the field")
{
    const auto parsed = parse_json_object(
        R"({"n":5,"f":0.5,"t":"5","b":true,"minus":-1,"null":null})", 200);
    REQUIRE(parsed);
    const auto& object = parsed.value();
    CHECK(read_json_milliseconds(object, "n", 5).value() == 5ms);
    CHECK(read_json_double(object, "n").value() == 5);
    CHECK(read_json_double(object, "f").value() == 0.5);
    CHECK(read_json_flag(object, "b").value());
    for (const char* key : {"f", "t", "b", "minus", "null", "absent"})
    {
        CAPTURE(key);
        const auto time = read_json_milliseconds(object, key, max_json_number);
        REQUIRE_FALSE(time);
        CHECK(time.error().message.find(key) != std::string::npos);
    }
    CHECK_FALSE(read_json_milliseconds(object, "n", 4));
    for (const char* key : {"t", "b", "null", "absent"})
    {
        CAPTURE(key);
        CHECK_FALSE(read_json_double(object, key));
    }
    for (const char* key : {"n", "t", "null", "absent"})
    {
        CAPTURE(key);
        CHECK_FALSE(read_json_flag(object, key));
    }
}
