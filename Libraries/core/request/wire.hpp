#ifndef WISTERIAHATCH_CORE_REQUEST_WIRE_HPP
#define WISTERIAHATCH_CORE_REQUEST_WIRE_HPP

#include "core/base/error.hpp"
#include "core/request/query.hpp"
#include "core/request/run_registry.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

// Encodes and decodes the JSON bodies that are exchanged with callers, with
// other instances and with upstreams.
namespace wisteriahatch
{

// Body of POST /v1/query.
struct query_request
{
    std::string request_id;
    std::string service;
    std::string caller_class;
    std::string query;
    std::optional<std::chrono::milliseconds> deadline;
};

// Body of POST /v1/run.
struct run_request
{
    std::string run_id;
    std::string service;
    std::string caller_class;
    std::string payload;
    std::optional<std::chrono::milliseconds> deadline;
};

// Answer to POST /v1/run.
struct run_answer
{
    run_outcome outcome = run_outcome::unknown;
    std::string reply;
};

// Maximum length of a caller's request id, in bytes.
inline constexpr std::size_t max_request_id_bytes = 128;
// Maximum deadline of a request. A longer one is reduced to it.
inline constexpr std::chrono::milliseconds max_deadline{600'000};

// Decodes a caller's query. Errors: malformed_request, deadline_passed.
result<query_request> decode_query_request(std::string_view body);
std::string encode_query_answer(const query_answer& answer);
// Encodes the error reply for an answer whose coverage is below the floor of
// the caller's class.
std::string encode_low_coverage_error(const query_answer& answer,
                                      std::string_view message);

// Decodes the service name of POST /v1/run-ids. Error: malformed_request.
result<std::string> decode_run_id_request(std::string_view body);
std::string encode_run_id(std::string_view run_id,
                          std::chrono::milliseconds lifetime);
// Decodes a caller's run. Errors: malformed_request, run_id_required,
// deadline_passed.
result<run_request> decode_run_request(std::string_view body);
std::string encode_run_request(const run_request& request);
std::string encode_run_answer(std::string_view run_id,
                              const run_answer& answer);
// Decodes another instance's answer to a forwarded run. Error:
// malformed_request.
result<run_answer> decode_run_answer(std::string_view body);

std::string encode_error(const error& failure);

// Body of an upstream's POST /search.
std::string encode_search_request(const send_attempt& attempt,
                                  std::string_view service,
                                  std::string_view query,
                                  std::chrono::milliseconds remaining);
// Decodes an upstream's reply. Error: truncated_reply.
result<search_reply> decode_search_reply(std::string_view body);

// Body of an upstream's POST /run.
std::string encode_upstream_run_request(std::string_view request_id,
                                        const dispatch_run& run,
                                        std::chrono::milliseconds remaining);

// The fields of an upstream's reply to POST /run that are evaluated.
struct upstream_run_reply
{
    std::string request_id;
    // False if the reply says that the request did not start.
    bool started = true;
    std::string result;
};

// Decodes an upstream's run reply. Error: truncated_reply.
result<upstream_run_reply> decode_upstream_run_reply(std::string_view body);

}

#endif
