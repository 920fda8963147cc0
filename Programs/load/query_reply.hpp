#ifndef WISTERIAHATCH_LOAD_QUERY_REPLY_HPP
#define WISTERIAHATCH_LOAD_QUERY_REPLY_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// What the reply to a query says.
struct query_reply
{
    // Error kind; empty for an answer.
    std::string error;
    std::uint64_t covered = 0;
    std::uint64_t lacked = 0;
    bool is_complete = false;
    // What contradicts the caller interface; empty when nothing does.
    std::string violation;
};

// Reads the reply to a query with this request id and checks it against the
// caller interface: own request id, rows in order, each shard named once, and
// "complete" only without lacked shards.
query_reply read_query_reply(unsigned status, std::string_view body,
                             std::string_view request_id);

// What the reply to a non-idempotent request says.
struct run_reply
{
    // Error kind; empty for a reply with an outcome.
    std::string error;
    // done, not_run or unknown.
    std::string outcome;
    // The upstream's reply as JSON text.
    std::string reply;
    std::string violation;
};

run_reply read_run_reply(unsigned status, std::string_view body,
                         std::string_view run_id);

// Returns the run id of a reply to POST /v1/run-ids; empty for an error.
std::string read_run_id(unsigned status, std::string_view body);

// Returns the error kind of a reply that is no answer.
std::string read_error(unsigned status, std::string_view body);

}

#endif
