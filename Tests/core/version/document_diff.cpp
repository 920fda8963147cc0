#include "core/version/document_diff.hpp"

#include "core/version/document_check.hpp"
#include "core/version/example_documents.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace wisteriahatch;

namespace
{

document_ptr accepted(const std::string& text)
{
    const auto checked = check_document(text);
    for (const auto& problem : checked.problems)
        MESSAGE(to_string(problem));
    REQUIRE(checked.accepted);
    return checked.accepted;
}

// An edit of the Blue Mahoe document with serial 2, and its expected
// description.
struct document_edit
{
    std::string before;
    std::string after;
    std::vector<std::string> sentences;
};

std::string edited(std::string text, const document_edit& edit)
{
    if (edit.before.empty())
        return text + edit.after;
    const auto at = text.find(edit.before);
    REQUIRE(at != std::string::npos);
    return text.replace(at, edit.before.size(), edit.after);
}

}

// Guards against changes that are not reported to the operator.
TEST_CASE("each change of a setting is described")
{
    const document_edit table[] = {
        {"; Shop counter", "; Counter", {"document: no other setting changes"}},
        {"deadline_ms = 800",
         "deadline_ms = 700",
         {"class counter: deadline_ms changes from 800 to 700"}},
        {"slots = 3",
         "slots = 4",
         {"service counter-quote: slots changes from 3 to 4"}},
        {"connections = 30",
         "connections = 11",
         {"service counter-quote: connections changes from 30 to 11",
          "service counter-quote: connections to a server: each instance may "
          "open 2 before, only 5 instances may open 1 after"}},
        {"cq-00-a@jm-kgn",
         "cq-00-a@jm-mby",
         {"service counter-quote: replica cq-00-a moves from group 00 in "
          "jm-kgn to group 00 in jm-mby"}},
        {"cq-00-a@jm-kgn, ",
         "",
         {"service counter-quote: replica cq-00-a (group 00 in jm-kgn) is "
          "removed"}},
        {"s00@00, s01@01",
         "s00@01, s01@01",
         {"service counter-quote, index version 1: shard s00 moves from group "
          "00 to group 01"}},
        {"",
         "[group vendor-portal/new]\nreplicas = vp-90@jm-kgn\n"
         "[index vendor-portal/2]\nshards = left@all, right@new\n",
         {"service vendor-portal: group new is added",
          "service vendor-portal: replica vp-90 (group new in jm-kgn) is added",
          "service vendor-portal: index version 2 with 2 shards may be "
          "served"}},
        {"[index vendor-portal/1]",
         "[index vendor-portal/3]",
         {"service vendor-portal: index version 1 is no longer served",
          "service vendor-portal: index version 3 with 1 shards may be "
          "served"}},
        {"[class counter]",
         "[class desk]",
         {"class counter is removed", "class desk is added"}},
        {"hedge_budget_percent = 0\nidempotent = no",
         "hedge_budget_percent = 2.5\nidempotent = yes",
         {"class label: hedge_budget_percent changes from 0 to 2.5",
          "class label: idempotent changes from no to yes",
          "class label: its requests may now run more than once"}},
        {"jm-mdv, jm-mby\n",
         "jm-mdv, jm-mby, jm-new\n",
         {"fleet: failure domain jm-new is added"}},
        {"[class counter]",
         "[service extra]\nslots = 1\nconnections = 30\n"
         "[group extra/all]\nreplicas = ex-00@jm-kgn\n"
         "[index extra/1]\nshards = all@all\n[class counter]",
         {"service extra is added"}},
    };
    const auto base = example_document("blue_mahoe");
    const auto promoted = edited(base, {"serial = 1\n", "serial = 2\n", {}});
    for (const auto& row : table)
    {
        CAPTURE(row.after);
        const auto changes =
            describe_changes(*accepted(base), *accepted(edited(promoted, row)));
        REQUIRE(!changes.empty());
        CHECK(changes.front() == "document: the serial rises from 1 to 2");
        CHECK(std::vector(changes.begin() + 1, changes.end()) == row.sentences);
    }
}

// Guards against a missing warning about a document that instances would
// reject.
TEST_CASE("a document that instances would reject is reported")
{
    const auto base = example_document("blue_mahoe");
    const auto newer = edited(base, {"serial = 1\n", "serial = 2\n", {}});
    const auto other = edited(newer, {"= blue-mahoe", "= other", {}});
    CHECK(describe_changes(*accepted(base), *accepted(base)).empty());
    CHECK(describe_changes(*accepted(newer), *accepted(base)).front() ==
          "document: the serial falls from 2 to 1; instances reject the new "
          "document: write a serial over 2");
    CHECK(describe_changes(*accepted(base), *accepted(other)).front() ==
          "document: the environment changes from blue-mahoe to other; "
          "instances of the former reject the new document");
    const auto same = base + "; comment\n";
    const auto first = describe_changes(*accepted(base), *accepted(same));
    const auto second = describe_changes(*accepted(same), *accepted(base));
    const bool is_same_greater = document_digest(same) > document_digest(base);
    CHECK((first.front().find("the new document's digest") !=
           std::string::npos) == is_same_greater);
    CHECK((second.front().find("the new document's digest") !=
           std::string::npos) != is_same_greater);
}
