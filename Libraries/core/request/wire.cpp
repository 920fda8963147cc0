#include "core/request/wire.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace json = boost::json;

error malformed(std::string message)
{
    return {error_kind::malformed_request, std::move(message)};
}

error truncated(std::string message)
{
    return {error_kind::truncated_reply, std::move(message)};
}

// Parses an object. `make_error` returns the error of the interface that the
// body belongs to.
result<json::object> parse_object(std::string_view body,
                                  error (*make_error)(std::string))
{
    boost::system::error_code code;
    auto value = json::parse(body, code);
    if (code)
        return make_error("the body is not JSON: " + code.message() +
                          "; send one JSON object");
    if (!value.is_object())
        return make_error(
            "the body is not a JSON object; send one JSON object");
    return std::move(value.as_object());
}

result<std::string> read_string(const json::object& object,
                                std::string_view key,
                                error (*make_error)(std::string))
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return make_error("\"" + std::string(key) +
                          "\" is missing or not a string; send it as a string");
    return std::string(value->as_string());
}

result<std::optional<std::chrono::milliseconds>>
read_deadline(const json::object& object)
{
    using optional_deadline = std::optional<std::chrono::milliseconds>;
    const auto* value = object.if_contains("deadline_ms");
    if (value == nullptr)
        return optional_deadline{};
    if (!value->is_int64())
        return malformed("\"deadline_ms\" is not a whole number; send the "
                         "remaining time in milliseconds");
    const std::chrono::milliseconds deadline{value->as_int64()};
    if (deadline <= std::chrono::milliseconds::zero())
        return error{error_kind::deadline_passed,
                     "\"deadline_ms\" is " + std::to_string(deadline.count()) +
                         ", not positive; send the remaining time in "
                         "milliseconds"};
    return optional_deadline{std::min(deadline, max_deadline)};
}

json::array to_array(const std::vector<std::string>& names)
{
    json::array array;
    array.reserve(names.size());
    for (const auto& name : names)
        array.emplace_back(name);
    return array;
}

result<std::vector<row>> read_rows(const json::object& object)
{
    const auto* rows = object.if_contains("rows");
    if (rows == nullptr || !rows->is_array())
        return truncated("\"rows\" is missing or not an array; the upstream "
                         "must send an array of rows");
    std::vector<row> read;
    read.reserve(rows->as_array().size());
    for (const auto& value : rows->as_array())
    {
        if (!value.is_object())
            return truncated("a row is not an object; the upstream must send "
                             "\"key\" and \"value\"");
        BOOST_OUTCOME_TRY(auto key,
                          read_string(value.as_object(), "key", truncated));
        BOOST_OUTCOME_TRY(auto text,
                          read_string(value.as_object(), "value", truncated));
        read.push_back({std::move(key), std::move(text)});
    }
    return read;
}

}

result<query_request> decode_query_request(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto object, parse_object(body, malformed));
    query_request request;
    BOOST_OUTCOME_TRY(request.service,
                      read_string(object, "service", malformed));
    BOOST_OUTCOME_TRY(request.caller_class,
                      read_string(object, "class", malformed));
    BOOST_OUTCOME_TRY(request.query, read_string(object, "query", malformed));
    BOOST_OUTCOME_TRY(request.deadline, read_deadline(object));
    if (object.contains("request_id"))
    {
        BOOST_OUTCOME_TRY(request.request_id,
                          read_string(object, "request_id", malformed));
        if (request.request_id.size() > max_request_id_bytes)
            return malformed("\"request_id\" is " +
                             std::to_string(request.request_id.size()) +
                             " bytes long; send at most 128 bytes");
    }
    return request;
}

std::string encode_query_answer(const query_answer& answer)
{
    json::array rows;
    rows.reserve(answer.rows.size());
    for (const auto& each : answer.rows)
        rows.push_back({{"key", each.key}, {"value", each.value}});
    json::object object;
    object["request_id"] = answer.request_id;
    object["index_version"] = answer.version.value;
    object["complete"] = answer.is_complete;
    object["rows"] = std::move(rows);
    object["covered"] = to_array(answer.covered);
    object["lacked"] = to_array(answer.lacked);
    return json::serialize(object);
}

std::string encode_low_coverage_error(const query_answer& answer,
                                      std::string_view message)
{
    json::object object;
    object["error"] = to_string(error_kind::coverage_below_floor);
    object["message"] = message;
    object["request_id"] = answer.request_id;
    object["index_version"] = answer.version.value;
    object["covered"] = to_array(answer.covered);
    object["lacked"] = to_array(answer.lacked);
    return json::serialize(object);
}

result<std::string> decode_run_id_request(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto object, parse_object(body, malformed));
    return read_string(object, "service", malformed);
}

std::string encode_run_id(std::string_view run_id,
                          std::chrono::milliseconds lifetime)
{
    json::object object;
    object["run_id"] = run_id;
    object["expires_in_ms"] = lifetime.count();
    return json::serialize(object);
}

result<run_request> decode_run_request(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto object, parse_object(body, malformed));
    run_request request;
    if (!object.contains("run_id"))
        return error{error_kind::run_id_required,
                     "\"run_id\" is missing; get one with POST /v1/run-ids and "
                     "repeat it with every retry"};
    BOOST_OUTCOME_TRY(request.run_id, read_string(object, "run_id", malformed));
    BOOST_OUTCOME_TRY(request.service,
                      read_string(object, "service", malformed));
    BOOST_OUTCOME_TRY(request.caller_class,
                      read_string(object, "class", malformed));
    BOOST_OUTCOME_TRY(request.payload,
                      read_string(object, "payload", malformed));
    BOOST_OUTCOME_TRY(request.deadline, read_deadline(object));
    return request;
}

std::string encode_run_request(const run_request& request)
{
    json::object object;
    object["run_id"] = request.run_id;
    object["service"] = request.service;
    object["class"] = request.caller_class;
    object["payload"] = request.payload;
    if (request.deadline)
        object["deadline_ms"] = request.deadline->count();
    return json::serialize(object);
}

std::string encode_run_answer(std::string_view run_id, const run_answer& answer)
{
    json::object object;
    object["run_id"] = run_id;
    object["outcome"] = to_string(answer.outcome);
    if (answer.outcome == run_outcome::done)
        object["reply"] = answer.reply;
    return json::serialize(object);
}

result<run_answer> decode_run_answer(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto object, parse_object(body, malformed));
    BOOST_OUTCOME_TRY(auto name, read_string(object, "outcome", malformed));
    run_answer answer;
    if (object.contains("reply"))
    {
        BOOST_OUTCOME_TRY(answer.reply,
                          read_string(object, "reply", malformed));
    }
    constexpr std::array outcomes{run_outcome::done, run_outcome::not_run,
                                  run_outcome::unknown};
    for (const auto outcome : outcomes)
    {
        if (name != to_string(outcome))
            continue;
        answer.outcome = outcome;
        return answer;
    }
    return malformed("\"outcome\" is \"" + name +
                     "\"; expected done, not_run or unknown");
}

std::string encode_error(const error& failure)
{
    json::object object;
    object["error"] = to_string(failure.kind);
    object["message"] = failure.message;
    return json::serialize(object);
}

std::string encode_search_request(const send_attempt& attempt,
                                  std::string_view service,
                                  std::string_view query,
                                  std::chrono::milliseconds remaining)
{
    json::object object;
    object["request_id"] = attempt.wire_request_id;
    object["service"] = service;
    object["shard"] = attempt.shard;
    object["index_version"] = attempt.version.value;
    object["query"] = query;
    object["deadline_ms"] = remaining.count();
    return json::serialize(object);
}

result<search_reply> decode_search_reply(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto object, parse_object(body, truncated));
    search_reply reply;
    BOOST_OUTCOME_TRY(reply.request_id,
                      read_string(object, "request_id", truncated));
    BOOST_OUTCOME_TRY(reply.shard, read_string(object, "shard", truncated));
    const auto* version = object.if_contains("index_version");
    if (version == nullptr || !version->is_int64() || version->as_int64() < 0)
        return truncated("\"index_version\" is missing or not a whole number "
                         "of at least 0; the upstream must send the version "
                         "that it searched");
    reply.version.value = static_cast<std::uint64_t>(version->as_int64());
    BOOST_OUTCOME_TRY(reply.rows, read_rows(object));
    return reply;
}

std::string encode_upstream_run_request(std::string_view request_id,
                                        const dispatch_run& run,
                                        std::chrono::milliseconds remaining)
{
    json::object object;
    object["request_id"] = request_id;
    object["service"] = run.service;
    object["payload"] = run.payload;
    object["deadline_ms"] = remaining.count();
    return json::serialize(object);
}

result<upstream_run_reply> decode_upstream_run_reply(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto object, parse_object(body, truncated));
    upstream_run_reply reply;
    BOOST_OUTCOME_TRY(reply.request_id,
                      read_string(object, "request_id", truncated));
    if (const auto* started = object.if_contains("started"))
        reply.started = !started->is_bool() || started->as_bool();
    if (!reply.started)
        return reply;
    BOOST_OUTCOME_TRY(reply.result, read_string(object, "result", truncated));
    return reply;
}

}
