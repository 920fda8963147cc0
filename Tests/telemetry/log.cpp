#include "telemetry/log.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against values that break an event into two lines or into fields that
// were not logged.
TEST_CASE("values are quoted so that an event is one line")
{
    struct quoted_value
    {
        std::string value;
        std::string expected;
    };

    for (const auto& [value, expected] :
         {quoted_value{"plain", "plain"}, quoted_value{"", R"("")"},
          quoted_value{"two words", R"("two words")"},
          quoted_value{"a\"b", R"("a\"b")"}, quoted_value{"a\\b", R"("a\\b")"},
          quoted_value{"a=b", R"("a=b")"},
          quoted_value{"one\ntwo\r\nthree", R"("one\ntwo\r\nthree")"},
          quoted_value{"tab\there", R"("tab\there")"},
          quoted_value{std::string("nul\0\x1b[0m\x7f", 9),
                       R"("nul\x00\x1b[0m\x7f")"},
          quoted_value{"\xc3\xa9", "\xc3\xa9"}})
    {
        const std::string line = format_event(log_level::warning, "reply_late",
                                              {{"first", "1"}, {"v", value}});
        CHECK(line == "level=warning event=reply_late first=1 v=" + expected);
        CHECK(line.find('\n') == std::string::npos);
    }
}

// Guards against a misspelt level that silently drops events.
TEST_CASE("only the four level names are accepted")
{
    for (const char* name : {"debug", "info", "warning", "error"})
        CHECK(start_logging("test", name));
    for (const char* name : {"", "INFO", "warn", "fatal"})
        CHECK_FALSE(start_logging("test", name));
}
