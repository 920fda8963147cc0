#include "ctl/commands/request_story.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch::ctl;

namespace
{

std::vector<log_record> parse(std::initializer_list<const char*> lines)
{
    std::vector<log_record> records;
    for (const char* line : lines)
        if (auto record = parse_log_line(line, "file"))
            records.push_back(*record);
    return records;
}

}

// Guards against a line that is read wrongly, or taken from another program.
TEST_CASE("a line of the log is read into its fields")
{
    struct scenario
    {
        const char* line;
        const char* source;
        const char* field;
        const char* value;
    };
    for (const auto& [line, source, field, value] :
         {scenario{"time=1 event=a id=7", "file", "id", "7"},
          scenario{"  3.2 host-1 time=1 event=a id=7", "host-1", "id", "7"},
          scenario{R"(time=1 event=a reason="x \"y\" = z" id=7)", "file",
                   "reason", R"(x "y" = z)"},
          scenario{R"(time=1 event=a lacked="" id=7)", "file", "id", "7"},
          scenario{"time=1 event=a rest", "file", "event", "a"}})
    {
        CAPTURE(line);
        const auto record = parse_log_line(line, "file");
        REQUIRE(record);
        CHECK(record->source == source);
        CHECK(record->field(field) == value);
    }
    for (const char* line : {"", "no log line", "time=1", "event=a", "time="})
    {
        CAPTURE(line);
        CHECK_FALSE(parse_log_line(line, "file"));
    }
}

// Guards against a story that leaves out what decided the request, or tells
// what other instances believed.
TEST_CASE("a request's story has its lines and what was believed before them")
{
    const auto records = parse({
        "a time=01 event=routes_adopted version=1",
        "a time=02 event=routes_adopted version=2",
        "b time=02 event=routes_adopted version=9",
        "a time=03 event=source_lost reason=x",
        "a time=03 event=upstream_changed upstream=i-1 state=ready",
        "a time=03 event=upstream_changed upstream=i-2 state=ready",
        "a time=04 event=attempt_ended id=other upstream=i-1 end=failed",
        "a time=05 event=attempt_ended id=wanted upstream=i-1 end=failed",
        "a time=06 event=request_ended id=wanted upstreams=i-1:failed",
        "a time=07 event=routes_adopted version=3",
        "a time=07 event=source_regained",
        "a time=08 event=attempt_ended id=later upstream=i-1 end=failed",
    });
    const request_story story("wanted", records);
    CHECK(story.is_found());
    const std::vector<std::string> expected{
        "  a: time=02 event=routes_adopted version=2",
        "  a: time=03 event=source_lost reason=x",
        "  a: time=03 event=upstream_changed upstream=i-1 state=ready",
        "  a: time=04 event=attempt_ended id=other upstream=i-1 end=failed",
        "* a: time=05 event=attempt_ended id=wanted upstream=i-1 end=failed",
        "* a: time=06 event=request_ended id=wanted upstreams=i-1:failed",
    };
    CHECK(story.lines() == expected);
    CHECK_FALSE(request_story("unknown", records).is_found());
    CHECK_FALSE(request_story("", {}).is_found());
}

// Guards against a story that an upstream's many failures make unreadable.
TEST_CASE("few other attempts at an upstream are told, the last ones")
{
    std::vector<log_record> records;
    for (char digit = '1'; digit <= '9'; ++digit)
        records.push_back(*parse_log_line(
            std::string("time=0") + digit + " event=attempt_ended id=" + digit +
                " upstream=i-1 end=failed",
            "a"));
    const request_story story("9", records);
    const auto lines = story.lines();
    REQUIRE(lines.size() == 1 + request_story::most_other_attempts);
    CHECK(lines.front().find("id=6") != std::string::npos);
    CHECK(lines.back().find("* a: time=09") == 0);
}
