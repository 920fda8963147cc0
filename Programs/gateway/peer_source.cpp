#include "peer_source.hpp"

#include "core/base/json_fields.hpp"
#include "peer_exchange.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t max_position_bytes = 1024;

error no_reader()
{
    return {error_kind::no_configuration,
            "no other instance watches the source for this one"};
}

error make_stale_reader_error(std::chrono::milliseconds age)
{
    return {error_kind::upstream_timeout,
            "the reader has not heard from the source for " +
                std::to_string(age.count()) + " ms; ask another instance"};
}

error make_incomplete_error()
{
    return {error_kind::truncated_reply,
            "the reader does not state the evacuated failure domains; ask "
            "another instance"};
}

}

std::string encode_routing_position(const routing_position& position)
{
    return boost::json::serialize(
        boost::json::object{{"epoch", position.source.epoch},
                            {"revision", position.source.revision},
                            {"version", position.version}});
}

result<routing_position> decode_routing_position(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object,
                      parse_json_object(text, max_position_bytes));
    routing_position position;
    // Instances of earlier versions send no epoch.
    if (object.contains("epoch"))
    {
        BOOST_OUTCOME_TRY(position.source.epoch,
                          read_json_integer(object, "epoch", max_json_number));
    }
    BOOST_OUTCOME_TRY(position.source.revision,
                      read_json_integer(object, "revision", max_json_number));
    BOOST_OUTCOME_TRY(position.version,
                      read_json_integer(object, "version", max_json_number));
    return position;
}

peer_source::peer_source(peer_exchange& exchange, const source_watcher& routing)
    : peers(&exchange)
    , watcher(&routing)
{
}

asio::awaitable<result<routing_snapshot>> peer_source::read()
{
    const auto reader = this->peers->reader_address();
    if (reader.empty())
        co_return no_reader();
    const auto answer =
        co_await this->peers->call(reader, "routing.fetch", "{}");
    auto snapshot = answer ? decode_snapshot(answer.value())
                           : result<routing_snapshot>(answer.error());
    if (!snapshot ||
        snapshot.value().position <= this->watcher->position().source)
        this->peers->record_reader_failure(reader);
    co_return snapshot;
}

asio::awaitable<result<routing_changes>>
peer_source::watch(std::uint64_t revision, std::chrono::milliseconds)
{
    const auto reader = this->peers->reader_address();
    if (reader.empty())
        co_return no_reader();
    auto position = this->watcher->position();
    position.source.revision = revision;
    const auto parameters = encode_routing_position(position);
    const auto answer =
        co_await this->peers->call(reader, "routing.changes", parameters);
    auto changes = answer ? decode_changes(answer.value())
                          : result<routing_changes>(answer.error());
    // A reader that is partitioned from the source does not notice it before
    // its watch has timed out, and hears of no change until then.
    if (changes && changes.value().source_age > source_watcher::max_reader_age)
        changes = make_stale_reader_error(changes.value().source_age);
    // An instance of an earlier version, or one that has adopted a snapshot of
    // such an instance, does not state the evacuations.
    if (changes && this->watcher->follows_evacuations() &&
        !changes.value().is_history_lost && !changes.value().evacuations)
        changes = make_incomplete_error();
    // After a gap the snapshot of the same reader is read.
    if (!changes)
        this->peers->record_reader_failure(reader);
    co_return changes;
}

}
