#ifndef WISTERIAHATCH_LOAD_QUERY_REPLY_HPP
#define WISTERIAHATCH_LOAD_QUERY_REPLY_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Parsed reply to a query.
struct query_reply
{
    // Error kind; empty for an answer.
    std::string error;
    std::uint64_t covered = 0;
    std::uint64_t lacked = 0;
    bool is_complete = false;
    // How the reply contradicts the caller interface; empty if it doesn't.
    std::string violation;
};

// Parses the reply to a query and checks it against the caller interface: the
// given request id, rows in order, each shard named once, and "complete" if and
// only if no shard is lacked.
query_reply read_query_reply(unsigned status, std::string_view body,
                             std::string_view request_id);

// Parsed reply to a non-idempotent request.
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

// Returns the run id in a reply to POST /v1/run-ids; empty for an error reply.
std::string read_run_id(unsigned status, std::string_view body);

// Returns the error kind of a reply, or "status_" and the HTTP status if the
// body names none.
std::string read_error(unsigned status, std::string_view body);

}

#endif
