#include "ctl/commands/request_timeline.hpp"

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

// Guards against lines that are parsed wrongly, and lines of other programs
// that are accepted.
TEST_CASE("a log line is parsed into its fields")
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

// Guards against a timeline that lacks the state that decided the request, or
// has the state of instances that didn't handle it.
TEST_CASE("a timeline has the request's lines and the state before them")
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
    const request_timeline timeline("wanted", records);
    CHECK(timeline.is_found());
    const std::vector<std::string> expected{
        "  a: time=02 event=routes_adopted version=2",
        "  a: time=03 event=source_lost reason=x",
        "  a: time=03 event=upstream_changed upstream=i-1 state=ready",
        "  a: time=04 event=attempt_ended id=other upstream=i-1 end=failed",
        "* a: time=05 event=attempt_ended id=wanted upstream=i-1 end=failed",
        "* a: time=06 event=request_ended id=wanted upstreams=i-1:failed",
    };
    CHECK(timeline.lines() == expected);
    CHECK_FALSE(request_timeline("unknown", records).is_found());
    CHECK_FALSE(request_timeline("", {}).is_found());
}

// Guards against a timeline made unreadable by the many failures of an
// upstream.
TEST_CASE("only the last other attempts at an upstream are listed")
{
    std::vector<log_record> records;
    for (char digit = '1'; digit <= '9'; ++digit)
        records.push_back(*parse_log_line(
            std::string("time=0") + digit + " event=attempt_ended id=" + digit +
                " upstream=i-1 end=failed",
            "a"));
    const request_timeline timeline("9", records);
    const auto lines = timeline.lines();
    REQUIRE(lines.size() == 1 + request_timeline::max_other_attempts);
    CHECK(lines.front().find("id=6") != std::string::npos);
    CHECK(lines.back().find("* a: time=09") == 0);
}
