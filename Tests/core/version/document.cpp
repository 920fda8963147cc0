#include "core/version/document.hpp"

#include "core/version/document_check.hpp"
#include "core/version/example_documents.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace wisteriahatch;

namespace
{

struct expected_service
{
    std::string document;
    std::string name;
    std::size_t groups;
    std::size_t servers;
    unsigned slots;
    unsigned connections;
    int new_connection_ms;
};

}

// Guards against example documents whose sizes differ from the deployments'.
TEST_CASE("the example documents contain the services of the deployments")
{
    const expected_service table[] = {
        {"blue_mahoe", "counter-quote", 10, 30, 3, 30, 6},
        {"blue_mahoe", "courier-failure domains", 15, 45, 3, 30, 6},
        {"blue_mahoe", "receipt-desk", 1, 20, 2, 110, 1},
        {"blue_mahoe", "vendor-portal", 1, 10, 2, 110, 1},
        {"dialcraft", "storefront", 10, 30, 2, 25, 6},
        {"dialcraft", "payouts", 15, 45, 2, 25, 6},
        {"dialcraft", "studio", 1, 7, 3, 40, 1},
        {"dialcraft", "moderation", 1, 3, 3, 40, 1},
    };
    for (const auto& row : table)
    {
        CAPTURE(row.name);
        const auto checked = check_document(example_document(row.document));
        for (const auto& problem : checked.problems)
            MESSAGE(to_string(problem));
        REQUIRE(checked.accepted);
        const auto* const service = checked.accepted->find_service(row.name);
        REQUIRE(service);
        std::size_t servers = 0;
        for (const auto& group : service->groups)
            servers += group.replicas.size();
        CHECK(service->groups.size() == row.groups);
        CHECK(servers == row.servers);
        CHECK(service->slots == row.slots);
        CHECK(service->connections == row.connections);
        CHECK(service->connection_setup_time ==
              std::chrono::milliseconds(row.new_connection_ms));
        CHECK(service->reports_load);
        REQUIRE(service->find_index({1}));
        CHECK(service->find_index({1})->shards.size() == row.groups);
        CHECK(!service->find_index({2}));
    }
}

// Guards against lookups that match a prefix of a name.
TEST_CASE("lookups return nothing for unknown names")
{
    const auto checked = check_document(example_document("blue_mahoe"));
    REQUIRE(checked.accepted);
    CHECK(checked.accepted->find_class("counter"));
    CHECK(!checked.accepted->find_class("count"));
    CHECK(!checked.accepted->find_service("counter"));
}

// Guards against keys that are compared by digest first or by serial alone.
TEST_CASE("document keys are ordered by serial, then by digest")
{
    CHECK(document_key{1, "ff"} < document_key{2, "00"});
    CHECK(document_key{2, "00"} < document_key{2, "01"});
    CHECK(document_key{2, "01"} == document_key{2, "01"});
}
