#ifndef WISTERIAHATCH_CORE_REQUEST_QUERY_HPP
#define WISTERIAHATCH_CORE_REQUEST_QUERY_HPP

#include "core/base/error.hpp"
#include "core/base/fault_injection.hpp"
#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/connection/upstream_state.hpp"
#include "core/request/row.hpp"
#include "core/version/document.hpp"

#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wisteriahatch
{

class service_state;

// An upstream's reply to one sub-request, as decoded from the wire.
struct search_reply
{
    std::string request_id;
    std::string shard;
    index_version version;
    std::vector<row> rows;
};

// Send a sub-request. The request id on the wire is unique to the attempt.
struct send_attempt
{
    attempt_id attempt;
    std::string wire_request_id;
    std::string shard;
    std::string replica;
    index_version version;
    time_point deadline;
    // Without a byte of the reply for this long after sending, the connection
    // counts as silent and the attempt fails with upstream_timeout.
    duration first_byte_timeout{0};
    // Set after an attempt met a silent connection: the open connections to
    // other replicas may be silent for the same reason.
    bool needs_new_connection = false;
};

// Cancel a sub-request; its reply, if any, is ignored.
struct cancel_attempt
{
    attempt_id attempt;
};

// Call handle_timer at this time; replaces the earlier timer.
struct set_timer
{
    time_point at;
};

// The answer to a query. `covered` and `lacked` together are all shards of
// the shard map of `version`, without overlap, in the map's order.
struct query_answer
{
    std::string request_id;
    index_version version;
    bool is_complete = false;
    // Sorted by key, then by value.
    std::vector<row> rows;
    std::vector<std::string> covered;
    std::vector<std::string> lacked;
    // Sub-requests sent, and sub-requests needed (one a shard).
    unsigned sent = 0;
    unsigned needed = 0;
};

// The query has ended; no action follows.
struct finish_query
{
    query_answer answer;
};

using query_action =
    std::variant<send_attempt, cancel_attempt, set_timer, finish_query>;

// What a query needs from its process. All pointers outlive the query.
struct query_options
{
    std::string request_id;
    // Snapshot that the query keeps until it ends.
    document_ptr configuration;
    // Replicas by name; states are shared with other queries.
    upstream_table_ptr upstreams;
    const service_spec* service = nullptr;
    const class_spec* caller_class = nullptr;
    // Observations and budgets shared by all queries of the service.
    service_state* shared_state = nullptr;
    std::mt19937_64* random = nullptr;
    // The instance's own failure domain, preferred on ties.
    std::string failure_domain;
    time_point deadline;
    // Set by tests only.
    injected_fault fault = injected_fault::none;
};

// One query: chooses the index version, plans a sub-request a shard, hedges
// stragglers, retries failures, and merges the replies. No I/O and no clock.
class query
{
public:
    explicit query(query_options options);
    ~query();

    std::vector<query_action> start(time_point now);
    // A reply whose wire request id, shard or version does not match the
    // attempt is treated as a failure of that attempt and never merged.
    std::vector<query_action> handle_reply(attempt_id attempt,
                                           search_reply reply, time_point now);
    // On wrong_version the shell has already stored the versions that the
    // replica named in its upstream_state.
    std::vector<query_action> handle_failure(attempt_id attempt,
                                             error_kind kind, time_point now);
    // Sends the hedges that are due, and finishes at the deadline.
    std::vector<query_action> handle_timer(time_point now);
    // The caller has gone: cancels every running attempt. No finish follows.
    std::vector<query_action> abandon(time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
