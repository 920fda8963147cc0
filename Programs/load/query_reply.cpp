#include "query_reply.hpp"

#include <boost/json.hpp>
#include <set>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace json = boost::json;

// Returns an empty object if the text is not a JSON object.
json::object parse_object(std::string_view body)
{
    json::error_code failure;
    const json::value value = json::parse(body, failure);
    if (failure || !value.is_object())
        return {};
    return value.get_object();
}

std::string_view text_of(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return {};
    return value->get_string();
}

const json::array* array_of(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_array();
}

// Adds the shards to `seen`; returns false if one is named twice or is not a
// string.
bool add_shards(const json::array& shards, std::set<std::string_view>& seen)
{
    bool is_distinct = true;
    for (const json::value& shard : shards)
    {
        if (!shard.is_string() || !seen.insert(shard.get_string()).second)
            is_distinct = false;
    }
    return is_distinct;
}

// True if the rows are sorted by key, then by value.
bool is_sorted(const json::array& rows)
{
    std::pair<std::string_view, std::string_view> previous;
    for (const json::value& row : rows)
    {
        if (!row.is_object())
            return false;
        const std::pair current(text_of(row.get_object(), "key"),
                                text_of(row.get_object(), "value"));
        if (current < previous)
            return false;
        previous = current;
    }
    return true;
}

// Counts the shards and checks that each is named once.
void read_shards(const json::object& object, query_reply& reply)
{
    const json::array* covered = array_of(object, "covered");
    const json::array* lacked = array_of(object, "lacked");
    if (covered == nullptr || lacked == nullptr)
    {
        if (reply.error.empty())
            reply.violation = "no_shard_lists";
        return;
    }
    reply.covered = covered->size();
    reply.lacked = lacked->size();
    std::set<std::string_view> seen;
    const bool is_distinct = add_shards(*covered, seen);
    if (!add_shards(*lacked, seen) || !is_distinct)
        reply.violation = "shard_named_twice";
}

}

std::string read_error(unsigned status, std::string_view body)
{
    const json::object object = parse_object(body);
    const std::string_view kind = text_of(object, "error");
    return kind.empty() ? "status_" + std::to_string(status)
                        : std::string(kind);
}

query_reply read_query_reply(unsigned status, std::string_view body,
                             std::string_view request_id)
{
    query_reply reply;
    if (status != 200)
        reply.error = read_error(status, body);
    const json::object object = parse_object(body);
    read_shards(object, reply);
    if (!reply.error.empty())
        return reply;
    if (text_of(object, "request_id") != request_id)
        reply.violation = "other_request_id";
    const json::value* complete = object.if_contains("complete");
    reply.is_complete =
        complete != nullptr && complete->is_bool() && complete->get_bool();
    if (reply.is_complete != (reply.lacked == 0))
        reply.violation = "complete_contradicts_lacked";
    const json::array* rows = array_of(object, "rows");
    if (rows == nullptr || !is_sorted(*rows))
        reply.violation = "rows_not_sorted";
    return reply;
}

run_reply read_run_reply(unsigned status, std::string_view body,
                         std::string_view run_id)
{
    run_reply reply;
    if (status != 200)
    {
        reply.error = read_error(status, body);
        return reply;
    }
    const json::object object = parse_object(body);
    reply.outcome = text_of(object, "outcome");
    if (const json::value* value = object.if_contains("reply"))
        reply.reply = json::serialize(*value);
    if (reply.outcome != "done" && reply.outcome != "not_run" &&
        reply.outcome != "unknown")
        reply.violation = "no_outcome";
    if (text_of(object, "run_id") != run_id)
        reply.violation = "other_run_id";
    return reply;
}

std::string read_run_id(unsigned status, std::string_view body)
{
    if (status != 200)
        return {};
    return std::string(text_of(parse_object(body), "run_id"));
}

}
