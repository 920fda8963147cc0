#include "core/process/directory.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against fields lost between the platform, this instance and a peer.
TEST_CASE("the instance list survives a round trip")
{
    const directory list{.revision = 42,
                         .instances = {{.name = "e1",
                                        .address = "10.0.0.1:80",
                                        .peer_address = "10.0.0.1:81",
                                        .failure_domain = "jm-kgn"},
                                       {.name = "e2",
                                        .address = "10.0.0.2:80",
                                        .peer_address = "10.0.0.2:81",
                                        .failure_domain = "jm-spt",
                                        .state = instance_state::leaving},
                                       {.name = "cq-00-a",
                                        .role = instance_role::upstream,
                                        .address = "10.0.1.1:90",
                                        .failure_domain = "jm-kgn"}}};
    const auto read = decode_directory(encode_directory(list)).value();
    CHECK(read.revision == 42);
    CHECK(read.instances == list.instances);
    CHECK(read.entry_peers() == std::vector<std::string>{"10.0.0.1:81"});
    CHECK(read.find("cq-00-a")->address == "10.0.1.1:90");
    CHECK(read.find("cq-00-b") == nullptr);
}

// Guards against a list that crashes the instance or is partially accepted.
TEST_CASE("malformed instance lists are refused as a whole")
{
    const std::string good =
        R"({"name":"a","role":"entry","address":"a","failure_domain":"z",)"
        R"("state":"live"})";
    const auto list = [](const std::string& items)
    { return R"({"revision":1,"instances":[)" + items + "]}"; };
    CHECK(decode_directory(list(good)));
    const std::string rows[] = {
        "",
        "[]",
        "{}",
        R"({"revision":-1,"instances":[]})",
        R"({"revision":1.5,"instances":[]})",
        R"({"revision":1,"instances":{}})",
        list("1"),
        list("{}"),
        list("{},{}"),
        list(R"({"name":"a","role":"x","address":"a","failure_domain":"z",)"
             R"("state":"live"})"),
        list(R"({"name":"a","role":"entry","address":"a",)"
             R"("failure_domain":"z","state":"gone"})"),
        list(R"({"name":")" + std::string(200, 'n') +
             R"(","role":"entry","address":"a","failure_domain":"z",)"
             R"("state":"live"})"),
        std::string(100, '['),
        std::string(max_directory_bytes + 1, ' '),
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.substr(0, 100));
        CHECK_FALSE(decode_directory(row));
    }
}

// Guards against one malformed entry, or a second one of the same name, that
// keeps the instance from following the others.
TEST_CASE("malformed entries of an instance list are ignored")
{
    const auto make = [](const std::string& name, const std::string& state)
    {
        return R"({"name":")" + name +
               R"(","role":"entry","address":"a","failure_domain":"z",)" +
               R"("state":")" + state + "\"}";
    };
    for (const std::string& odd :
         {std::string("1"), std::string("{}"), std::string("[[[[[]]]]]"),
          std::string("1e999"), std::string("99999999999999999999999"),
          make("b", "gone"), make("a", "leaving"),
          make(std::string(200, 'n'), "live")})
    {
        CAPTURE(odd);
        const auto read = decode_directory(R"({"revision":7,"instances":[)" +
                                           make("a", "live") + "," + odd + "," +
                                           make("c", "leaving") + "]}");
        REQUIRE(read);
        CHECK(read.value().revision == 7);
        CHECK(read.value().ignored_entries == 1);
        REQUIRE(read.value().instances.size() == 2);
        CHECK(read.value().instances[0].state == instance_state::live);
        CHECK(read.value().instances[1].name == "c");
    }
}
