#include "query_reply.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against a driver that counts wrong answers as correct.
TEST_CASE("replies are checked against the caller interface")
{
    struct checked_reply
    {
        unsigned status;
        std::string body;
        std::string error;
        std::string violation;
    };

    const std::string rows =
        R"("rows":[{"key":"a","value":"1"},{"key":"a","value":"2"}])";
    for (const auto& [status, body, error, violation] :
         {checked_reply{200,
                        R"({"request_id":"r","complete":true,)" + rows +
                            R"(,"covered":["x","y"],"lacked":[]})",
                        "", ""},
          checked_reply{200,
                        R"({"request_id":"q","complete":true,)" + rows +
                            R"(,"covered":["x"],"lacked":[]})",
                        "", "other_request_id"},
          checked_reply{200,
                        R"({"request_id":"r","complete":true,)" + rows +
                            R"(,"covered":["x"],"lacked":["y"]})",
                        "", "complete_contradicts_lacked"},
          checked_reply{200,
                        R"({"request_id":"r","complete":false,)" + rows +
                            R"(,"covered":["x"],"lacked":["x"]})",
                        "", "shard_named_twice"},
          checked_reply{200,
                        R"({"request_id":"r","complete":true,"rows":[
                          {"key":"b","value":"1"},{"key":"a","value":"1"}],
                          "covered":["x"],"lacked":[]})",
                        "", "rows_not_sorted"},
          checked_reply{200, "[", "", "rows_not_sorted"},
          checked_reply{503,
                        R"({"error":"coverage_below_floor",
                          "covered":["x"],"lacked":["y"]})",
                        "coverage_below_floor", ""},
          checked_reply{503, R"({"error":"overloaded"})", "overloaded", ""},
          checked_reply{502, "<html>", "status_502", ""}})
    {
        CAPTURE(body);
        const query_reply reply = read_query_reply(status, body, "r");
        CHECK(reply.error == error);
        CHECK(reply.violation == violation);
    }
}
