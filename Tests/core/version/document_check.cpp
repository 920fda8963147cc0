#include "core/version/document_check.hpp"

#include "core/version/example_documents.hpp"
#include "core/version/problem_list.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>

using namespace wisteriahatch;

namespace
{

// The smallest accepted document.
constexpr std::string_view valid_text = "[document]\n"              // 1
                                        "environment = test\n"      // 2
                                        "serial = 7\n"              // 3
                                        "[fleet]\n"                 // 4
                                        "failure_domains = a, b\n"  // 5
                                        "max_entry_instances = 3\n" // 6
                                        "[service s 1]\n"           // 7
                                        "slots = 2\n"               // 8
                                        "connections = 9\n"         // 9
                                        "[group s 1/g]\n"           // 10
                                        "replicas = r1@a, r2@b\n"   // 11
                                        "[index s 1/4]\n"           // 12
                                        "shards = x@g, y@g\n"       // 13
                                        "[class c]\n"               // 14
                                        "service = s 1\n"           // 15
                                        "deadline_ms = 100\n"       // 16
                                        "idempotent = yes\n";       // 17

// A replacement of one line of the valid document and the expected problem.
struct bad_line
{
    std::string_view line;
    std::string_view replacement;
    std::string section;
    std::string key;
    std::size_t reported_line;
    std::string value;
};

std::string replaced(std::string_view line, std::string_view replacement)
{
    std::string text(valid_text);
    const auto at = text.find(std::string(line) + "\n");
    REQUIRE(at != std::string::npos);
    return text.replace(at, line.size(), replacement);
}

}

// Guards against defaults that differ from the documented ones.
TEST_CASE("absent keys take the documented defaults")
{
    const auto checked = check_document(valid_text);
    REQUIRE(checked.accepted);
    const auto& read = *checked.accepted;
    CHECK(read.key.serial == 7);
    CHECK(read.key.digest == document_digest(valid_text));
    CHECK(read.text == valid_text);
    const auto* const service = read.find_service("s 1");
    REQUIRE(service);
    CHECK(service->connection_setup_time == std::chrono::milliseconds(1));
    CHECK(!service->reports_load);
    const auto* const caller_class = read.find_class("c");
    REQUIRE(caller_class);
    CHECK(caller_class->priority == 1);
    CHECK(caller_class->coverage_floor_percent == 100);
    CHECK(caller_class->partial == partial_policy::refused);
    CHECK(caller_class->hedge_budget_percent == 0);
    CHECK(caller_class->request_idempotency == idempotency::idempotent);
}

// Guards against problems that are accepted, reported at the wrong place or
// accompanied by follow-up problems.
TEST_CASE("each problem is reported once with its section, key, line and value")
{
    const bad_line table[] = {
        {"environment = test", "", "document", "environment", 1, ""},
        {"environment = test", "environment = t/t", "document", "environment",
         2, "t/t"},
        {"serial = 7", "serial = 0", "document", "serial", 3, "0"},
        {"serial = 7", "serial = -1", "document", "serial", 3, "-1"},
        {"serial = 7", "serial = 9223372036854775808", "document", "serial", 3,
         "9223372036854775808"},
        {"serial = 7", "serial = 7x", "document", "serial", 3, "7x"},
        {"serial = 7", "serial =", "document", "serial", 3, ""},
        {"serial = 7", "serial = 7\nserial = 8", "document", "serial", 4, "8"},
        {"serial = 7", "serial = 7\nserail = 8", "document", "serail", 4, ""},
        {"serial = 7", "serial = 7\n= 8", "document", "", 4, "8"},
        {"serial = 7", "serial = 7\nword", "document", "", 4, "word"},
        {"serial = 7", "serial = 7\n; \xff", "document", "", 4, "; \xff"},
        {"serial = 7", "serial = 7\n;\f\v", "document", "", 4, ";\f\v"},
        {"serial = 7", "serial = 7\n; \x01", "document", "", 4, "; \x01"},
        {"failure_domains = a, b", "failure_domains = a, b, a", "fleet",
         "failure_domains", 5, "a"},
        {"failure_domains = a, b", "failure_domains = a,, b", "fleet",
         "failure_domains", 5, "a,, b"},
        {"max_entry_instances = 3", "max_entry_instances = 100001", "fleet",
         "max_entry_instances", 6, "100001"},
        {"slots = 2", "slots = 0", "service s 1", "slots", 8, "0"},
        {"connections = 9", "", "service s 1", "connections", 7, ""},
        {"connections = 9", "connections = 9\nload_reports = true",
         "service s 1", "load_reports", 10, "true"},
        {"connections = 9", "connections = 9\nnew_connection_ms = 60001",
         "service s 1", "new_connection_ms", 10, "60001"},
        {"replicas = r1@a, r2@b", "replicas = r1@a, r2@c", "group s 1/g",
         "replicas", 11, "r2@c"},
        {"replicas = r1@a, r2@b", "replicas = r1@a, r1@b", "group s 1/g",
         "replicas", 11, "r1"},
        {"replicas = r1@a, r2@b", "replicas = r1@a, r2", "group s 1/g",
         "replicas", 11, "r2"},
        {"replicas = r1@a, r2@b", "replicas =", "group s 1/g", "replicas", 11,
         ""},
        {"[index s 1/4]", "[group s 1/h]\nreplicas = r2@a\n[index s 1/4]",
         "group s 1/h", "replicas", 13, "r2"},
        {"[index s 1/4]", "[group t/h]\nreplicas = r3@a\n[index s 1/4]",
         "group t/h", "", 12, "t"},
        {"[index s 1/4]", "[index s 1/04]", "index s 1/04", "", 12, "04"},
        {"[index s 1/4]", "[index s 1/x]", "index s 1/x", "", 12, "x"},
        {"shards = x@g, y@g", "shards = x@g, y@h", "index s 1/4", "shards", 13,
         "y@h"},
        {"shards = x@g, y@g", "shards = x@g, x@g", "index s 1/4", "shards", 13,
         "x"},
        {"shards = x@g, y@g", "", "index s 1/4", "shards", 12, ""},
        {"service = s 1", "service = t", "class c", "service", 15, "t"},
        {"deadline_ms = 100", "deadline_ms = 600001", "class c", "deadline_ms",
         16, "600001"},
        {"deadline_ms = 100", "deadline_ms = 100\npriority = 4", "class c",
         "priority", 17, "4"},
        {"deadline_ms = 100", "deadline_ms = 100\nhedge_budget_percent = nan",
         "class c", "hedge_budget_percent", 17, "nan"},
        {"deadline_ms = 100", "deadline_ms = 100\ncoverage_floor_percent = 90",
         "class c", "coverage_floor_percent", 17, "90"},
        {"deadline_ms = 100", "deadline_ms = 100\npartial = allowed", "class c",
         "coverage_floor_percent", 14, "100"},
        {"idempotent = yes", "idempotent = maybe", "class c", "idempotent", 17,
         "maybe"},
        {"idempotent = yes", "idempotent = no\nhedge_budget_percent = 5",
         "class c", "hedge_budget_percent", 18, ""},
        {"idempotent = yes", "", "class c", "idempotent", 14, ""},
        {"idempotent = yes", "idempotent = yes\n[class c]\npriority = 9",
         "class c", "", 18, ""},
        {"idempotent = yes", "idempotent = yes\n[clas d]\npriority = 1",
         "clas d", "", 18, ""},
        {"idempotent = yes", "idempotent = yes\n[class d", "", "", 18,
         "[class d"},
        {"idempotent = yes", "idempotent = yes\n[document] x", "", "", 18,
         "[document] x"},
        {"idempotent = yes", "idempotent = yes\n[fleet 2]", "fleet 2", "", 18,
         ""},
        {"idempotent = yes",
         "idempotent = yes\n[class  d]\nservice = s 1\ndeadline_ms = 1\n"
         "idempotent = no",
         "class  d", "", 18, " d"},
        {"[document]", "early = 1\n[document]", "", "early", 1, "1"},
    };
    for (const auto& row : table)
    {
        CAPTURE(row.replacement);
        const auto checked =
            check_document(replaced(row.line, row.replacement));
        CHECK(!checked.accepted);
        for (const auto& problem : checked.problems)
            CAPTURE(to_string(problem));
        REQUIRE(checked.problems.size() == 1);
        const auto& problem = checked.problems.front();
        CHECK(problem.section == row.section);
        CHECK(problem.key == row.key);
        CHECK(problem.line == row.reported_line);
        CHECK(problem.value == row.value);
        CHECK(!problem.message.empty());
    }
}

// Guards against a check that stops at the first problem.
TEST_CASE("problems of every section are reported in one run, sorted by line")
{
    const auto checked = check_document("stray\n[document]\nserial = x\n"
                                        "[fleet]\n[service s]\nslots = 0\n"
                                        "[odd]\n");
    CHECK(!checked.accepted);
    std::vector<std::string> places;
    for (const auto& problem : checked.problems)
        places.push_back(std::to_string(problem.line) + " " + problem.section +
                         "/" + problem.key);
    CHECK(
        std::ranges::is_sorted(checked.problems, {}, &document_problem::line));
    for (const auto* const place :
         {"0 group/", "0 index/", "0 class/", "1 /", "2 document/environment",
          "3 document/serial", "4 fleet/failure_domains",
          "4 fleet/max_entry_instances", "5 service s/", "6 service s/slots",
          "5 service s/connections", "7 odd/"})
    {
        CAPTURE(place);
        CHECK(std::ranges::find(places, place) != places.end());
    }
}

// Guards against comments and carriage returns that become part of a value.
TEST_CASE("comments and carriage returns do not change values")
{
    auto text = replaced("serial = 7", "  serial=8;comment\r\n# note\n;note");
    text = text.replace(text.find("[fleet]"), 7, "[fleet] ; comment\r");
    const auto checked = check_document(text);
    for (const auto& problem : checked.problems)
        CAPTURE(to_string(problem));
    REQUIRE(checked.accepted);
    CHECK(checked.accepted->key.serial == 8);
}

// Guards against parsing documents of unlimited size.
TEST_CASE("documents over the limit are refused before they are parsed")
{
    auto text = std::string(valid_text);
    text.resize(max_document_bytes, '\n');
    CHECK(check_document(text).accepted);
    text += '\n';
    const auto checked = check_document(text);
    CHECK(!checked.accepted);
    CHECK(checked.problems.size() == 1);
}

// Guards against a corrupt document with a long message for each of its lines.
TEST_CASE("the number and length of reported problems is bounded")
{
    std::string text;
    while (text.size() + 200 < max_document_bytes)
        text += std::string(100, 'x') + "\n";
    const auto checked = check_document(text);
    CHECK(checked.problems.size() == problem_list::max_problems + 1);
    CHECK(checked.problems.front().value.size() < 100);
    CHECK(checked.problems.back().message.find(
              "more problems are not listed") != std::string::npos);
}

// Guards against rejecting fleets with more instances than a server accepts
// connections; they use relay mode.
TEST_CASE("fewer connections than instances are accepted")
{
    const auto checked =
        check_document(replaced("connections = 9", "connections = 2"));
    CHECK(checked.accepted);
}

// Guards against index versions in the order of the text: select_index expects
// the newest first.
TEST_CASE("index versions are ordered newest first")
{
    const auto checked = check_document(
        replaced("[class c]", "[index s 1/12]\nshards = z@g\n[class c]"));
    REQUIRE(checked.accepted);
    const auto& indexes = checked.accepted->find_service("s 1")->indexes;
    REQUIRE(indexes.size() == 2);
    CHECK(indexes[0].version.value == 12);
    CHECK(indexes[1].version.value == 4);
}

// Guards against digests that differ from those of other tools.
TEST_CASE("the digest is SHA-256 in lower-case hexadecimal")
{
    CHECK(document_digest("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a3"
                                    "96177a9cb410ff61f20015ad");
}

// Guards against terminal control sequences from a document.
TEST_CASE("formatted problems contain no control characters")
{
    CHECK(to_string({.section = "a",
                     .key = "k",
                     .line = 3,
                     .value = "\x1b[2J\n",
                     .message = "is bad"}) ==
          "line 3: [a] k: \"?[2J?\": is bad");
}

// Guards against bytes that crash the check or let an exception escape, and
// against a result that has both a document and problems, or neither.
TEST_CASE("random changes of bytes never crash the check")
{
    const std::string bases[] = {example_document("blue_mahoe"),
                                 example_document("dialcraft"),
                                 std::string(valid_text)};
    CHECK(rc::check(
        [&bases]
        {
            auto text = bases[*rc::gen::inRange<std::size_t>(0, 3)];
            const auto changes = *rc::gen::inRange<std::size_t>(1, 20);
            for (std::size_t change = 0; change < changes && !text.empty();
                 ++change)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                const auto byte = *rc::gen::oneOf(
                    rc::gen::arbitrary<char>(),
                    rc::gen::elementOf(std::string("[]=;#,@/ \n\r0")));
                switch (*rc::gen::inRange(0, 3))
                {
                case 0:
                    text[at] = byte;
                    break;
                case 1:
                    text.insert(at, 1, byte);
                    break;
                default:
                    text.erase(at, *rc::gen::inRange<std::size_t>(1, 50));
                }
            }
            const auto checked = check_document(text);
            RC_ASSERT((checked.accepted != nullptr) ==
                      checked.problems.empty());
        }));
}
