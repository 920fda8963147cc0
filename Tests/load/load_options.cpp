#include "load_options.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

namespace
{

const load_arguments valid{.entries = "127.0.0.1:1,127.0.0.1:2",
                           .service = "quote",
                           .rate = "a:10:50,b:2.5",
                           .duration_s = 10,
                           .warmup_s = 1,
                           .arrivals = "poisson",
                           .deadline_ms = 700,
                           .connections = 4,
                           .mode = "queries"};

}

// Guards against a load that differs from the one requested on the command
// line.
TEST_CASE("valid arguments become options")
{
    const auto options = parse_arguments(valid);
    REQUIRE(options.has_value());
    REQUIRE(options.value().classes.size() == 2);
    CHECK(options.value().entries.size() == 2);
    CHECK(options.value().classes[0].deadline.count() == 50);
    CHECK(options.value().classes[1].deadline.count() == 700);
    CHECK(options.value().classes[1].rate == 2.5);
}

// Guards against unbounded measurements and silently ignored options.
TEST_CASE("invalid arguments are refused with the option's name")
{
    struct wrong_arguments
    {
        std::string option;
        void (*change)(load_arguments&);
    };

    for (const auto& [option, change] :
         {wrong_arguments{"--entries", [](auto& a) { a.entries.clear(); }},
          wrong_arguments{"--service", [](auto& a) { a.service.clear(); }},
          wrong_arguments{"--rate", [](auto& a) { a.rate = "a:0"; }},
          wrong_arguments{"--rate", [](auto& a) { a.rate = "a:nan"; }},
          wrong_arguments{"--rate", [](auto& a) { a.rate = "a:1e9"; }},
          wrong_arguments{"--rate", [](auto& a) { a.rate = "a:1:2:3"; }},
          wrong_arguments{"--class", [](auto& a) { a.rate = "10"; }},
          wrong_arguments{"--duration_s", [](auto& a) { a.duration_s = 1e9; }},
          wrong_arguments{"--warmup_s", [](auto& a) { a.warmup_s = 10; }},
          wrong_arguments{"--connections", [](auto& a) { a.connections = 0; }},
          wrong_arguments{"--deadline_ms", [](auto& a) { a.deadline_ms = 0; }},
          wrong_arguments{"--repeat", [](auto& a) { a.repeat = 2; }},
          wrong_arguments{"--mode", [](auto& a) { a.mode = "run"; }},
          wrong_arguments{"--arrivals", [](auto& a) { a.arrivals = "x"; }},
          wrong_arguments{"--admin_ports",
                          [](auto& a) { a.admin_ports = "127.0.0.1:1"; }}})
    {
        CAPTURE(option);
        load_arguments changed = valid;
        change(changed);
        const auto options = parse_arguments(changed);
        REQUIRE(options.has_error());
        CAPTURE(options.error().message);
        CHECK(options.error().message.find(option) != std::string::npos);
    }
}
