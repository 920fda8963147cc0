#include "net/message_headers.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against forwarded headers that apply to one connection. They would
// change the framing or the lifetime of another connection.
TEST_CASE("only end-to-end headers are forwarded")
{
    struct scenario
    {
        message_header header;
        bool is_kept;
    };
    const message_header listed{"Connection", "close, X-Hop"};
    for (const auto& [header, is_kept] :
         {scenario{{"Accept", "*/*"}, true},
          scenario{{"Request-Id", "1"}, true}, scenario{{"Host", "h"}, true},
          scenario{{"X-Hop", "1"}, false},
          // Only whole names match the names that Connection lists.
          scenario{{"Hop", "1"}, true}, scenario{{"Lo", "1"}, true},
          scenario{{"Keep-Alive", "timeout=3"}, false},
          scenario{{"TRANSFER-ENCODING", "chunked"}, false},
          scenario{{"Content-Length", "3"}, false},
          scenario{{"Expect", "100-continue"}, false},
          scenario{{"Upgrade", "h2c"}, false},
          scenario{{"Proxy-Connection", "keep-alive"}, false}})
    {
        CAPTURE(header.name);
        const auto kept = end_to_end_headers({listed, header});
        CHECK(kept.size() == (is_kept ? 1 : 0));
    }
}

// Guards against a field that is not found because its case differs.
TEST_CASE("names are compared without case, and the first field counts")
{
    const message_headers headers{{"A-b", "1"}, {"a-B", "2"}};
    CHECK(find_header(headers, "A-B") == "1");
    CHECK_FALSE(find_header(headers, "a"));
}
