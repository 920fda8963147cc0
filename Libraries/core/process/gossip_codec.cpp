#include "core/process/gossip_codec.hpp"

#include "core/base/json_fields.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace wisteriahatch
{

namespace
{

// Longest address or failure domain, in bytes.
constexpr std::size_t max_name_bytes = 64;

// Longest id of an upstream, in bytes.
constexpr std::size_t max_upstream_id_bytes = 200;

// Largest age of a rate limit report; receivers ignore reports long before.
constexpr std::uint64_t max_age_ms = 3600000;

// Length of a SHA-256 digest in hexadecimal.
constexpr std::size_t digest_digits = 64;

// Maximum number of digests in a document request; a store holds 4.
constexpr std::size_t max_held_digests = 16;

// Escaping doubles line ends and quotes in a body. The limit does not cover
// other control characters, which grow sixfold.
constexpr std::size_t max_transfer_bytes = 2 * max_document_bytes + 4096;

constexpr std::array<std::string_view, 4> state_names = {"alive", "suspect",
                                                         "leaving", "dead"};

constexpr std::array<std::string_view, 4> form_names = {"none", "held", "text",
                                                        "delta"};

// Returns the index of the field's value in a table of enumerator names.
template <std::size_t Size>
result<std::size_t>
read_enumerator(const boost::json::object& object, std::string_view key,
                const std::array<std::string_view, Size>& names)
{
    BOOST_OUTCOME_TRY(const auto name,
                      read_json_text(object, key, max_name_bytes));
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return error{error_kind::malformed_request,
                     "\"" + std::string(key) + "\" is \"" + name +
                         "\"; send a value that this version supports"};
    return static_cast<std::size_t>(found - names.begin());
}

result<std::string> decode_digest(const boost::json::object& object,
                                  std::string_view key)
{
    BOOST_OUTCOME_TRY(auto digest, read_json_text(object, key, digest_digits));
    const bool is_hex =
        std::ranges::all_of(digest,
                            [](char digit) {
                                return (digit >= '0' && digit <= '9') ||
                                       (digit >= 'a' && digit <= 'f');
                            });
    if (!is_hex)
        return error{error_kind::malformed_request,
                     "\"" + std::string(key) + "\" is \"" + digest +
                         "\", which is not a digest; send lower-case "
                         "hexadecimal digits"};
    return digest;
}

result<document_key> decode_key(const boost::json::object& object)
{
    document_key key;
    BOOST_OUTCOME_TRY(key.serial,
                      read_json_integer(object, "serial", max_json_number));
    BOOST_OUTCOME_TRY(key.digest, decode_digest(object, "digest"));
    return key;
}

void encode_key(boost::json::object& object, const document_key& key)
{
    object["serial"] = key.serial;
    object["digest"] = key.digest;
}

boost::json::object encode_record(const member_record& record)
{
    boost::json::object object;
    object["address"] = record.address;
    object["failure_domain"] = record.failure_domain;
    object["nonce"] = format_hex(record.nonce.value);
    object["epoch"] = record.epoch;
    object["state"] = state_names.at(static_cast<std::size_t>(record.state));
    return object;
}

result<member_record> decode_record(const boost::json::value& value)
{
    BOOST_OUTCOME_TRY(const auto* object, read_json_object(value, "records"));
    member_record record;
    BOOST_OUTCOME_TRY(record.address,
                      read_json_text(*object, "address", max_name_bytes));
    if (record.address.empty())
        return error{error_kind::malformed_request,
                     "\"address\" is empty; send IP:port"};
    BOOST_OUTCOME_TRY(
        record.failure_domain,
        read_json_text(*object, "failure_domain", max_name_bytes));
    BOOST_OUTCOME_TRY(record.nonce.value, read_json_hex(*object, "nonce"));
    BOOST_OUTCOME_TRY(record.epoch,
                      read_json_integer(*object, "epoch", max_epoch));
    BOOST_OUTCOME_TRY(const auto state,
                      read_enumerator(*object, "state", state_names));
    record.state = static_cast<member_state>(state);
    return record;
}

boost::json::object encode_routing(const routing_position& position)
{
    return {{"epoch", position.source.epoch},
            {"revision", position.source.revision},
            {"version", position.version}};
}

// Instances of earlier versions send no routing position.
result<std::optional<routing_position>>
decode_routing(const boost::json::object& object)
{
    const auto* value = object.if_contains("routing");
    if (value == nullptr)
        return std::optional<routing_position>();
    BOOST_OUTCOME_TRY(const auto* fields, read_json_object(*value, "routing"));
    routing_position position;
    BOOST_OUTCOME_TRY(position.source.epoch,
                      read_json_integer(*fields, "epoch", max_json_number));
    BOOST_OUTCOME_TRY(position.source.revision,
                      read_json_integer(*fields, "revision", max_json_number));
    BOOST_OUTCOME_TRY(position.version,
                      read_json_integer(*fields, "version", max_json_number));
    return std::optional(position);
}

boost::json::object encode_report(const rate_limit_report& report)
{
    boost::json::object object;
    object["upstream"] = report.upstream;
    object["failure_domain"] = report.failure_domain;
    if (report.per_second)
        object["per_second"] = *report.per_second;
    object["age_ms"] = report.age.count();
    if (report.demand)
        object["demand"] = *report.demand;
    if (report.cold)
    {
        object["cold_start"] = report.cold->start;
        object["cold_ms"] = report.cold->left.count();
    }
    return object;
}

// Reads how long the upstream is still cold; empty when the fields are absent,
// as in messages of earlier versions.
result<std::optional<cold_period>>
decode_cold_period(const boost::json::object& object)
{
    if (!object.contains("cold_ms"))
        return std::optional<cold_period>();
    cold_period period;
    BOOST_OUTCOME_TRY(period.start,
                      read_json_integer(object, "cold_start", max_json_number));
    BOOST_OUTCOME_TRY(period.left,
                      read_json_milliseconds(object, "cold_ms", max_age_ms));
    return std::optional(period);
}

// Reads a rate in requests a second; empty when the field is absent.
result<std::optional<double>> decode_rate(const boost::json::object& object,
                                          std::string_view key)
{
    if (!object.contains(key))
        return std::optional<double>();
    BOOST_OUTCOME_TRY(const auto rate, read_json_double(object, key));
    if (rate < 0)
        return error{error_kind::malformed_request,
                     "\"" + std::string(key) +
                         "\" is negative; send requests a second"};
    return std::optional(rate);
}

result<rate_limit_report> decode_report(const boost::json::value& value)
{
    BOOST_OUTCOME_TRY(const auto* object,
                      read_json_object(value, "rate_limits"));
    rate_limit_report report;
    BOOST_OUTCOME_TRY(report.upstream, read_json_text(*object, "upstream",
                                                      max_upstream_id_bytes));
    BOOST_OUTCOME_TRY(
        report.failure_domain,
        read_json_text(*object, "failure_domain", max_name_bytes));
    BOOST_OUTCOME_TRY(report.per_second, decode_rate(*object, "per_second"));
    BOOST_OUTCOME_TRY(report.age,
                      read_json_milliseconds(*object, "age_ms", max_age_ms));
    BOOST_OUTCOME_TRY(report.demand, decode_rate(*object, "demand"));
    BOOST_OUTCOME_TRY(report.cold, decode_cold_period(*object));
    return report;
}

// Instances of earlier versions send no reports.
result<std::vector<rate_limit_report>>
decode_reports(const boost::json::object& object)
{
    std::vector<rate_limit_report> reports;
    if (!object.contains("rate_limits"))
        return reports;
    BOOST_OUTCOME_TRY(
        const auto* values,
        read_json_array(object, "rate_limits", max_rate_limit_reports));
    for (const auto& value : *values)
    {
        BOOST_OUTCOME_TRY(auto report, decode_report(value));
        reports.push_back(std::move(report));
    }
    return reports;
}

result<bucket_digests> decode_buckets(const boost::json::object& object)
{
    BOOST_OUTCOME_TRY(const auto* values,
                      read_json_array(object, "buckets", bucket_count));
    if (values->size() != bucket_count)
        return error{error_kind::malformed_request,
                     "\"buckets\" holds " + std::to_string(values->size()) +
                         " digests; send 64"};
    bucket_digests buckets{};
    for (std::size_t index = 0; index < bucket_count; ++index)
    {
        const auto* text = (*values)[index].if_string();
        if (text == nullptr)
            return error{error_kind::malformed_request,
                         "\"buckets\" item " + std::to_string(index) +
                             " is not a string; send hexadecimal strings"};
        BOOST_OUTCOME_TRY(buckets[index],
                          parse_hex({text->data(), text->size()}, "buckets"));
    }
    return buckets;
}

}

std::string encode_gossip(const gossip_message& message)
{
    boost::json::object object;
    auto sender = encode_record(message.sender);
    encode_key(sender, message.sender.document);
    object["sender"] = std::move(sender);
    object["table_digest"] = format_hex(message.table_digest);
    boost::json::array records;
    records.reserve(message.records.size());
    for (const auto& record : message.records)
        records.push_back(encode_record(record));
    object["records"] = std::move(records);
    if (message.routing)
        object["routing"] = encode_routing(*message.routing);
    if (!message.rate_limits.empty())
    {
        boost::json::array reports;
        for (const auto& report : message.rate_limits)
            reports.push_back(encode_report(report));
        object["rate_limits"] = std::move(reports);
    }
    if (message.bucket)
        object["bucket"] = *message.bucket;
    if (message.buckets)
    {
        boost::json::array digests;
        for (const auto digest : *message.buckets)
            digests.emplace_back(format_hex(digest));
        object["buckets"] = std::move(digests);
    }
    return boost::json::serialize(object);
}

result<gossip_message> decode_gossip(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object,
                      parse_json_object(text, max_gossip_bytes));
    gossip_message message;
    const auto* sender = object.if_contains("sender");
    if (sender == nullptr)
        return error{error_kind::malformed_request,
                     "\"sender\" is missing; send the sender's record"};
    BOOST_OUTCOME_TRY(message.sender, decode_record(*sender));
    BOOST_OUTCOME_TRY(message.sender.document, decode_key(sender->as_object()));
    BOOST_OUTCOME_TRY(message.table_digest,
                      read_json_hex(object, "table_digest"));
    BOOST_OUTCOME_TRY(const auto* records,
                      read_json_array(object, "records", max_message_records));
    for (const auto& value : *records)
    {
        BOOST_OUTCOME_TRY(auto record, decode_record(value));
        message.records.push_back(std::move(record));
    }
    BOOST_OUTCOME_TRY(message.routing, decode_routing(object));
    BOOST_OUTCOME_TRY(message.rate_limits, decode_reports(object));
    if (object.contains("bucket"))
    {
        BOOST_OUTCOME_TRY(
            const auto bucket,
            read_json_integer(object, "bucket", bucket_count - 1));
        message.bucket = static_cast<unsigned>(bucket);
    }
    if (object.contains("buckets"))
    {
        BOOST_OUTCOME_TRY(message.buckets, decode_buckets(object));
    }
    return message;
}

std::string encode_document_request(const document_request& request)
{
    boost::json::object object;
    object["held"] = boost::json::array(request.held_digests.begin(),
                                        request.held_digests.end());
    return boost::json::serialize(object);
}

result<document_request> decode_document_request(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object, parse_json_object(text, 4096));
    BOOST_OUTCOME_TRY(const auto* held,
                      read_json_array(object, "held", max_held_digests));
    document_request request;
    for (const auto& value : *held)
    {
        const auto* digest = value.if_string();
        if (digest == nullptr || digest->size() != digest_digits)
            return error{error_kind::malformed_request,
                         "\"held\" holds a value that is not a digest; send "
                         "SHA-256 digests in hexadecimal"};
        request.held_digests.emplace_back(digest->data(), digest->size());
    }
    return request;
}

std::string encode_document_transfer(const document_transfer& transfer)
{
    boost::json::object object;
    object["form"] = form_names.at(static_cast<std::size_t>(transfer.form));
    encode_key(object, transfer.key);
    object["base"] = transfer.base;
    object["body"] = transfer.body;
    return boost::json::serialize(object);
}

result<document_transfer> decode_document_transfer(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object,
                      parse_json_object(text, max_transfer_bytes));
    document_transfer transfer;
    BOOST_OUTCOME_TRY(const auto form,
                      read_enumerator(object, "form", form_names));
    transfer.form = static_cast<transfer_form>(form);
    BOOST_OUTCOME_TRY(transfer.key, decode_key(object));
    BOOST_OUTCOME_TRY(transfer.base, decode_digest(object, "base"));
    BOOST_OUTCOME_TRY(transfer.body,
                      read_json_text(object, "body", max_document_bytes));
    return transfer;
}

}
