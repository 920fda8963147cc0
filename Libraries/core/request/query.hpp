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

// Send a sub-request. Each attempt has its own request id on the wire.
struct send_attempt
{
    attempt_id attempt;
    std::string wire_request_id;
    std::string shard;
    std::string replica;
    index_version version;
    time_point deadline;
    // If no byte of the reply arrives within this time after sending, the
    // connection is treated as unresponsive, and the attempt fails with
    // upstream_timeout.
    duration first_byte_timeout{0};
    // Set after an attempt of the query failed on an unresponsive connection:
    // open connections to other replicas may be unresponsive for the same
    // reason.
    bool needs_new_connection = false;
};

// Cancel a sub-request. A reply that still arrives is ignored.
struct cancel_attempt
{
    attempt_id attempt;
};

// Call handle_timer at this time. Replaces the previous timer.
struct set_timer
{
    time_point at;
};

// The answer to a query. Each shard in the shard map of `version` is either in
// `covered` or in `lacked`. Both lists are in the map's order.
struct query_answer
{
    std::string request_id;
    index_version version;
    bool is_complete = false;
    // Sorted by key, then by value.
    std::vector<row> rows;
    std::vector<std::string> covered;
    std::vector<std::string> lacked;
    // Sub-requests sent, and sub-requests needed (one per shard).
    unsigned sent = 0;
    unsigned needed = 0;
};

// The query has ended. No further action follows.
struct finish_query
{
    query_answer answer;
};

using query_action =
    std::variant<send_attempt, cancel_attempt, set_timer, finish_query>;

// Input of a query. Whatever the pointers refer to must outlive the query.
struct query_options
{
    std::string request_id;
    // Configuration snapshot that the query uses until it ends.
    document_ptr configuration;
    // Replicas by name. Other queries share the states.
    upstream_table_ptr upstreams;
    const service_spec* service = nullptr;
    const class_spec* caller_class = nullptr;
    // Latencies, hedge budget and replica selector, which all queries of the
    // service share.
    service_state* shared_state = nullptr;
    std::mt19937_64* random = nullptr;
    // Failure domain of this instance, whose replicas are preferred on ties.
    std::string failure_domain;
    time_point deadline;
    // Only tests set a fault.
    injected_fault fault = injected_fault::none;
};

// Runs one query: chooses the index version, sends one sub-request per shard,
// hedges stragglers, retries failures and merges the replies. Does no I/O and
// reads no clock.
class query
{
public:
    explicit query(query_options options);
    ~query();

    std::vector<query_action> start(time_point now);
    // Handles a reply. If its request id, shard or version doesn't match the
    // attempt, the attempt fails and the rows are never merged.
    std::vector<query_action> handle_reply(attempt_id attempt,
                                           search_reply reply, time_point now);
    // On wrong_version the caller has already stored the versions that the
    // replica holds in its upstream_state.
    std::vector<query_action> handle_failure(attempt_id attempt,
                                             error_kind kind, time_point now);
    // Sends the hedges that are due. Ends the query at the deadline.
    std::vector<query_action> handle_timer(time_point now);
    // Cancels every running attempt after the caller has disconnected. Returns
    // no finish_query action.
    std::vector<query_action> abandon(time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
