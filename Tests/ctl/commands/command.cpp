#include "ctl/commands/command.hpp"

#include "core/version/document_check.hpp"
#include "core/version/example_documents.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace wisteriahatch;
using namespace wisteriahatch::ctl;

namespace
{

// A file that is removed at the end of the test.
class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
        : path(std::filesystem::temp_directory_path() /
               ("wisteriahatch-ctl-" + std::to_string(::getpid()) + "-" +
                std::to_string(++count) + ".ini"))
    {
        std::ofstream(this->path, std::ios::binary) << text;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    ~temporary_file()
    {
        std::filesystem::remove(this->path);
    }

    std::string name() const
    {
        return this->path.string();
    }

private:
    static inline int count = 0;
    std::filesystem::path path;
};

// Exit status and output of a command.
struct outcome
{
    exit_code status = exit_code::success;
    std::string output;
    std::string errors;
};

outcome run(std::vector<std::string> arguments)
{
    std::ostringstream output;
    std::ostringstream errors;
    const auto status = run_command({.arguments = std::move(arguments),
                                     .output = output,
                                     .errors = errors});
    return {status, output.str(), errors.str()};
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string with_serial_2(std::string text)
{
    return text.replace(text.find("serial = 1"), 10, "serial = 2");
}

}

// Guards against scripts that can't tell wrong usage from a refused document.
TEST_CASE("wrong usage has its own exit status and an error message")
{
    const std::vector<std::string> table[] = {
        {},
        {"unknown"},
        {"check"},
        {"check", "a", "b"},
        {"diff", "a"},
        {"explain", "a", "b"},
        {"check", "/nonexistent/document.ini"},
        {"check", "/"},
        {"digest", "/nonexistent/document.ini"},
        {"diff", "/nonexistent/a", "/nonexistent/b"},
    };
    for (const auto& arguments : table)
    {
        const auto result = run(arguments);
        CHECK(result.status == exit_code::usage_error);
        CHECK(!result.errors.empty());
        CHECK(result.output.empty());
    }
}

// Guards against a command that the help text does not name.
TEST_CASE("the help text names every command")
{
    for (const auto& entry : commands())
        CHECK(contains(usage_text(), entry.name));
}

// Guards against a check that stops at the first problem.
TEST_CASE("check prints every problem with its place")
{
    const temporary_file good(example_document("dialcraft"));
    const auto accepted = run({"check", good.name()});
    CHECK(accepted.status == exit_code::success);
    CHECK(contains(accepted.output, "environment dialcraft, serial 1, 4 "
                                    "services on 85 servers, 7 classes"));

    auto text = example_document("dialcraft");
    text.replace(text.find("slots = 2"), 9, "slots = x");
    const temporary_file bad(text + "[unknown]\n");
    const auto refused = run({"check", bad.name()});
    CHECK(refused.status == exit_code::refused);
    CHECK(contains(refused.errors, "[service storefront] slots: \"x\": "));
    CHECK(contains(refused.errors, "[unknown] "));
    CHECK(refused.output.empty());
}

// Guards against lowering a connection limit without a notice that instances
// stop connecting directly.
TEST_CASE("check notes services to which not every instance connects")
{
    auto text = example_document("dialcraft");
    text.replace(text.find("connections = 25"), 16, "connections = 11");
    const temporary_file file(text);
    const auto result = run({"check", file.name()});
    CHECK(result.status == exit_code::success);
    CHECK(contains(result.output, "[service storefront] connections: 11 is "
                                  "smaller than max_entry_instances = 12"));
    CHECK(contains(result.output, "not every instance can connect directly"));
}

// Guards against scripts that miss a difference.
TEST_CASE("the exit status of diff tells whether documents differ")
{
    const auto text = example_document("blue_mahoe");
    const temporary_file old_file(text);
    const temporary_file new_file(with_serial_2(text));
    const temporary_file bad_file("[document]\n");
    const auto same = run({"diff", old_file.name(), old_file.name()});
    CHECK(same.status == exit_code::success);
    CHECK(same.output.empty());
    const auto different = run({"diff", old_file.name(), new_file.name()});
    CHECK(different.status == exit_code::refused);
    CHECK(contains(different.output, "the serial rises from 1 to 2\n"));
    const auto refused = run({"diff", old_file.name(), bad_file.name()});
    CHECK(refused.status == exit_code::refused);
    CHECK(contains(refused.errors, "serial: the key is missing"));
}

// Guards against a digest that differs from the one instances report.
TEST_CASE("digest prints the digest that instances report")
{
    const auto text = example_document("blue_mahoe");
    const temporary_file file(text);
    const auto result = run({"digest", file.name()});
    CHECK(result.status == exit_code::success);
    CHECK(result.output == document_digest(text) + "  " + file.name() + "\n");
    const temporary_file large(std::string(max_document_bytes + 1, ';'));
    CHECK(run({"digest", large.name()}).status == exit_code::refused);
}

// Guards against figures that differ from what instances use.
TEST_CASE("explain states servers, connections, deadline and hedging")
{
    struct
    {
        std::string document;
        std::string service;
        std::string name;
        std::vector<std::string> parts;
    } const table[] = {
        {"blue_mahoe",
         "counter-quote",
         "counter",
         {"30 in 10 groups",
          "12 instances may open 2 to each server (24 of "
          "its limit of 30)",
          "deadline: 800 ms", "partial answers are refused",
          "one extra sub-request in 20", "at most 10 are saved up",
          "shard s09 in group 09: cq-09-a@jm-spt cq-09-b@jm-mdv"}},
        {"blue_mahoe",
         "courier-failure domains",
         "courier-match",
         {"45 in 15 groups"}},
        {"blue_mahoe",
         "receipt-desk",
         "label",
         {"may open 9 to each server",
          "runs at most once and is never hedged"}},
        {"dialcraft",
         "storefront",
         "typing-shopper",
         {"deadline: 150 ms", "priority 0", "allowed from 60%"}},
    };
    for (const auto& row : table)
    {
        const temporary_file file(example_document(row.document));
        const auto result =
            run({"explain", file.name(), row.service, row.name});
        CHECK(result.status == exit_code::success);
        for (const auto& part : row.parts)
        {
            CAPTURE(part);
            CHECK(contains(result.output, part));
        }
    }
    const temporary_file file(example_document("dialcraft"));
    const auto no_service = run({"explain", file.name(), "none", "listing"});
    CHECK(no_service.status == exit_code::refused);
    CHECK(contains(no_service.errors, "\"storefront\""));
    // A class of another service is not a class of this one.
    const auto no_class = run({"explain", file.name(), "payouts", "listing"});
    CHECK(no_class.status == exit_code::refused);
    CHECK(contains(no_class.errors, "\"sales-listing\""));
}
