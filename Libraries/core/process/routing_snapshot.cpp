#include "core/process/routing_snapshot.hpp"

#include "core/base/json_fields.hpp"
#include "core/process/routing_change_log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <limits>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace json = boost::json;

constexpr std::size_t max_items = 100000;
constexpr std::size_t max_text_bytes = 4096;
constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();

// Reads an integer; 0 when it is absent, as in messages of earlier versions.
result<std::uint64_t> read_optional_integer(const json::object& object,
                                            std::string_view key)
{
    if (!object.contains(key))
        return std::uint64_t{0};
    return read_json_integer(object, key, max_json_number);
}

// Reads how a service's cold upstreams are limited. Instances of earlier
// versions send nothing of it.
result<void> read_warm_up(const json::object& object, service_limits& limits)
{
    if (!object.contains("warm_up_rate"))
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(limits.warm_up_rate,
                      read_json_double(object, "warm_up_rate"));
    BOOST_OUTCOME_TRY(
        limits.warm_up_time,
        read_json_milliseconds(object, "warm_up_time_ms", max_json_number));
    return boost::outcome_v2::success();
}

// Decodes each item of an array field with `decode`.
template <class Item>
result<std::vector<Item>>
decode_list(const json::object& object, std::string_view key,
            result<Item> (*decode)(const json::value&))
{
    BOOST_OUTCOME_TRY(const auto* values,
                      read_json_array(object, key, max_items));
    std::vector<Item> items;
    items.reserve(values->size());
    for (const auto& each : *values)
    {
        BOOST_OUTCOME_TRY(auto item, decode(each));
        items.push_back(std::move(item));
    }
    return items;
}

json::object encode_route(const route_spec& route)
{
    json::array services;
    for (const auto& each : route.services)
        services.push_back(
            json::object{{"service", each.service}, {"weight", each.weight}});
    json::array shards;
    for (const auto& each : route.shards)
        shards.push_back(json::string(each));
    return {{"name", route.name},
            {"host", route.host},
            {"prefix", route.prefix},
            {"idempotent", route.retries == retry_policy::idempotent},
            {"timeout_ms", route.timeout.count()},
            {"target_ms", route.target_latency.count()},
            {"priority", route.priority},
            {"max_attempts", route.max_attempts},
            {"services", std::move(services)},
            {"shards", std::move(shards)},
            {"top_records", route.top_records},
            {"min_coverage", route.min_coverage}};
}

result<route_spec> decode_route(const json::value& value)
{
    BOOST_OUTCOME_TRY(const auto* object, read_json_object(value, "routes"));
    route_spec route;
    BOOST_OUTCOME_TRY(route.name,
                      read_json_text(*object, "name", max_text_bytes));
    BOOST_OUTCOME_TRY(route.host,
                      read_json_text(*object, "host", max_text_bytes));
    BOOST_OUTCOME_TRY(route.prefix,
                      read_json_text(*object, "prefix", max_text_bytes));
    BOOST_OUTCOME_TRY(const auto is_idempotent,
                      read_json_flag(*object, "idempotent"));
    route.retries =
        is_idempotent ? retry_policy::idempotent : retry_policy::at_most_once;
    BOOST_OUTCOME_TRY(
        route.timeout,
        read_json_milliseconds(*object, "timeout_ms", max_json_number));
    BOOST_OUTCOME_TRY(
        route.target_latency,
        read_json_milliseconds(*object, "target_ms", max_json_number));
    BOOST_OUTCOME_TRY(const auto priority,
                      read_json_integer(*object, "priority", max_count));
    BOOST_OUTCOME_TRY(const auto attempts,
                      read_json_integer(*object, "max_attempts", max_count));
    BOOST_OUTCOME_TRY(route.top_records,
                      read_json_integer(*object, "top_records", max_count));
    BOOST_OUTCOME_TRY(route.min_coverage,
                      read_json_double(*object, "min_coverage"));
    route.priority = static_cast<unsigned>(priority);
    route.max_attempts = static_cast<unsigned>(attempts);
    BOOST_OUTCOME_TRY(const auto* services,
                      read_json_array(*object, "services", max_items));
    for (const auto& each : *services)
    {
        BOOST_OUTCOME_TRY(const auto* service,
                          read_json_object(each, "services"));
        BOOST_OUTCOME_TRY(auto name,
                          read_json_text(*service, "service", max_text_bytes));
        BOOST_OUTCOME_TRY(const auto weight,
                          read_json_double(*service, "weight"));
        route.services.push_back(
            {.service = std::move(name), .weight = weight});
    }
    BOOST_OUTCOME_TRY(const auto* shards,
                      read_json_array(*object, "shards", max_items));
    for (const auto& each : *shards)
        if (const auto* name = each.if_string())
            route.shards.emplace_back(name->data(), name->size());
    if (route.services.empty() && route.shards.empty())
        return error{error_kind::malformed_request,
                     "the route \"" + route.name + "\" names no service"};
    return route;
}

json::object encode_routes(const route_table& table)
{
    json::array routes;
    for (const auto& each : table.routes())
        routes.push_back(encode_route(each));
    json::array services;
    for (const auto& [name, limits] : table.services())
        services.push_back(
            json::object{{"name", name},
                         {"health_path", limits.health_path},
                         {"max_connections", limits.max_connections},
                         {"warm_up_rate", limits.warm_up_rate},
                         {"warm_up_time_ms", limits.warm_up_time.count()}});
    const auto& callers = table.callers();
    return {{"version", table.version()},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"max_header_bytes", callers.max_header_bytes},
            {"max_body_bytes", callers.max_body_bytes},
            {"header_timeout_ms", callers.header_timeout.count()},
            {"idle_timeout_ms", callers.idle_timeout.count()}};
}

result<route_table_ptr> decode_routes(const json::object& object)
{
    route_table::options table;
    BOOST_OUTCOME_TRY(table.version,
                      read_json_integer(object, "version", max_json_number));
    BOOST_OUTCOME_TRY(table.routes,
                      decode_list(object, "routes", decode_route));
    BOOST_OUTCOME_TRY(const auto* services,
                      read_json_array(object, "services", max_items));
    for (const auto& each : *services)
    {
        BOOST_OUTCOME_TRY(const auto* item, read_json_object(each, "services"));
        BOOST_OUTCOME_TRY(auto name,
                          read_json_text(*item, "name", max_text_bytes));
        service_limits limits;
        BOOST_OUTCOME_TRY(limits.health_path,
                          read_json_text(*item, "health_path", max_text_bytes));
        BOOST_OUTCOME_TRY(
            const auto connections,
            read_json_integer(*item, "max_connections", max_count));
        limits.max_connections = static_cast<unsigned>(connections);
        BOOST_OUTCOME_TRY(read_warm_up(*item, limits));
        table.services.emplace(std::move(name), std::move(limits));
    }
    auto& callers = table.callers;
    BOOST_OUTCOME_TRY(
        callers.max_header_bytes,
        read_json_integer(object, "max_header_bytes", max_json_number));
    BOOST_OUTCOME_TRY(
        callers.max_body_bytes,
        read_json_integer(object, "max_body_bytes", max_json_number));
    BOOST_OUTCOME_TRY(
        callers.header_timeout,
        read_json_milliseconds(object, "header_timeout_ms", max_json_number));
    BOOST_OUTCOME_TRY(
        callers.idle_timeout,
        read_json_milliseconds(object, "idle_timeout_ms", max_json_number));
    return std::make_shared<const route_table>(std::move(table));
}

json::object encode_upstream(const upstream_spec& spec)
{
    return {{"id", spec.id},
            {"service", spec.service},
            {"address", spec.address},
            {"failure_domain", spec.failure_domain},
            {"slots", spec.slots},
            {"is_draining", spec.is_draining},
            {"warm_up_left_ms", spec.warm_up_left.count()},
            {"start", spec.start.value},
            {"sequence", spec.sequence}};
}

result<upstream_spec> decode_upstream(const json::value& value)
{
    BOOST_OUTCOME_TRY(const auto* object, read_json_object(value, "upstreams"));
    upstream_spec spec;
    BOOST_OUTCOME_TRY(spec.id, read_json_text(*object, "id", max_text_bytes));
    BOOST_OUTCOME_TRY(spec.service,
                      read_json_text(*object, "service", max_text_bytes));
    BOOST_OUTCOME_TRY(spec.address,
                      read_json_text(*object, "address", max_text_bytes));
    BOOST_OUTCOME_TRY(
        spec.failure_domain,
        read_json_text(*object, "failure_domain", max_text_bytes));
    BOOST_OUTCOME_TRY(const auto slots,
                      read_json_integer(*object, "slots", max_count));
    spec.slots = static_cast<unsigned>(slots);
    BOOST_OUTCOME_TRY(spec.is_draining, read_json_flag(*object, "is_draining"));
    BOOST_OUTCOME_TRY(
        spec.warm_up_left,
        read_json_milliseconds(*object, "warm_up_left_ms", max_json_number));
    BOOST_OUTCOME_TRY(const auto start,
                      read_json_integer(*object, "start", max_json_number));
    spec.start = {start};
    BOOST_OUTCOME_TRY(spec.sequence,
                      read_optional_integer(*object, "sequence"));
    return spec;
}

result<upstream_change> decode_change(const json::value& value)
{
    BOOST_OUTCOME_TRY(const auto* object, read_json_object(value, "upstreams"));
    upstream_change change;
    BOOST_OUTCOME_TRY(change.id, read_json_text(*object, "id", max_text_bytes));
    if (const auto* spec = object->if_contains("upstream"))
    {
        BOOST_OUTCOME_TRY(change.spec, decode_upstream(*spec));
    }
    return change;
}

result<std::string> decode_text(const json::value& value)
{
    const auto* text = value.if_string();
    if (text == nullptr || text->empty() || text->size() > max_text_bytes)
        return error{error_kind::malformed_request,
                     "an evacuated failure domain has no usable name"};
    return std::string(text->data(), text->size());
}

result<evacuation_change> decode_evacuation(const json::value& value)
{
    BOOST_OUTCOME_TRY(const auto* object,
                      read_json_object(value, "evacuations"));
    evacuation_change change;
    BOOST_OUTCOME_TRY(
        change.failure_domain,
        read_json_text(*object, "failure_domain", max_text_bytes));
    BOOST_OUTCOME_TRY(change.is_evacuated,
                      read_json_flag(*object, "is_evacuated"));
    return change;
}

// Decodes a list that is absent in messages of earlier versions.
template <class Item>
result<std::optional<std::vector<Item>>>
decode_optional_list(const json::object& object, std::string_view key,
                     result<Item> (*decode)(const json::value&))
{
    std::optional<std::vector<Item>> items;
    if (object.contains(key))
    {
        BOOST_OUTCOME_TRY(items, decode_list(object, key, decode));
    }
    return items;
}

// Encodes the fields that snapshots and changes have in common.
json::object encode_common(const source_position& position,
                           const route_table_ptr& routes, json::array upstreams)
{
    json::object object{{"epoch", position.epoch},
                        {"revision", position.revision},
                        {"upstreams", std::move(upstreams)}};
    if (routes)
        object["routing"] = encode_routes(*routes);
    return object;
}

// Decodes the fields that snapshots and changes have in common, except the
// upstreams.
template <class Message>
result<void> decode_common(const json::object& object, Message& message)
{
    BOOST_OUTCOME_TRY(message.position.revision,
                      read_json_integer(object, "revision", max_json_number));
    BOOST_OUTCOME_TRY(message.position.epoch,
                      read_optional_integer(object, "epoch"));
    if (const auto* routing = object.if_contains("routing"))
    {
        BOOST_OUTCOME_TRY(const auto* table,
                          read_json_object(*routing, "routing"));
        BOOST_OUTCOME_TRY(message.routes, decode_routes(*table));
    }
    return boost::outcome_v2::success();
}

}

std::string encode_snapshot(const routing_snapshot& snapshot)
{
    json::array upstreams;
    for (const auto& each : snapshot.upstreams)
        upstreams.push_back(encode_upstream(each));
    auto object =
        encode_common(snapshot.position, snapshot.routes, std::move(upstreams));
    if (snapshot.evacuated)
    {
        auto& names = object["evacuated"].emplace_array();
        for (const auto& each : *snapshot.evacuated)
            names.emplace_back(each);
    }
    return json::serialize(object);
}

result<routing_snapshot> decode_snapshot(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object,
                      parse_json_object(text, max_snapshot_bytes));
    routing_snapshot snapshot;
    BOOST_OUTCOME_TRY(decode_common(object, snapshot));
    BOOST_OUTCOME_TRY(snapshot.upstreams,
                      decode_list(object, "upstreams", decode_upstream));
    BOOST_OUTCOME_TRY(snapshot.evacuated,
                      decode_optional_list(object, "evacuated", decode_text));
    return snapshot;
}

std::string encode_changes(const routing_changes& changes)
{
    json::array upstreams;
    for (const auto& each : changes.upstreams)
    {
        json::object change{{"id", each.id}};
        if (each.spec)
            change["upstream"] = encode_upstream(*each.spec);
        upstreams.push_back(std::move(change));
    }
    auto object =
        encode_common(changes.position, changes.routes, std::move(upstreams));
    object["is_history_lost"] = changes.is_history_lost;
    object["source_age_ms"] = changes.source_age.count();
    if (changes.evacuations)
    {
        auto& list = object["evacuations"].emplace_array();
        for (const auto& each : *changes.evacuations)
            list.push_back(json::object{{"failure_domain", each.failure_domain},
                                        {"is_evacuated", each.is_evacuated}});
    }
    return json::serialize(object);
}

result<routing_changes> decode_changes(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object,
                      parse_json_object(text, max_snapshot_bytes));
    routing_changes changes;
    BOOST_OUTCOME_TRY(decode_common(object, changes));
    BOOST_OUTCOME_TRY(changes.is_history_lost,
                      read_json_flag(object, "is_history_lost"));
    // Instances of earlier versions send no age.
    BOOST_OUTCOME_TRY(const auto age,
                      read_optional_integer(object, "source_age_ms"));
    changes.source_age = std::chrono::milliseconds(age);
    BOOST_OUTCOME_TRY(changes.upstreams,
                      decode_list(object, "upstreams", decode_change));
    BOOST_OUTCOME_TRY(
        changes.evacuations,
        decode_optional_list(object, "evacuations", decode_evacuation));
    return changes;
}

}
