#include "core/process/gossip_codec.hpp"
#include "fleet_simulation.hpp"
#include "measures.hpp"
#include "sample_document.hpp"

#include <ctime>

namespace wisteriahatch
{

namespace
{

constexpr const char* role = "entry";
constexpr std::chrono::seconds settling_time{4};
constexpr std::chrono::seconds gossip_window{6};
constexpr std::chrono::seconds publish_limit{60};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Returns the bytes per second that a node sends on average.
double send_rate_per_node(const control_traffic& traffic, std::size_t members,
                          duration span)
{
    return static_cast<double>(traffic.bytes) / static_cast<double>(members) /
           seconds(span);
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Publishes one change and appends measurements of how it spread.
void add_spread(measurements& results, fleet_simulation& fleet,
                std::size_t members, std::uint64_t serial,
                std::size_t receivers)
{
    fleet.reset_traffic();
    const std::string text = make_document_of_size(10'000, serial);
    const auto times = fleet.publish(text, receivers, publish_limit);
    const std::string from = "_from_" + std::to_string(receivers);
    const auto quantile = [&](double fraction)
    {
        return seconds(times[static_cast<std::size_t>(
            fraction * static_cast<double>(times.size() - 1))]);
    };
    const auto traffic = fleet.traffic();
    results.push_back({role, "spread_informed" + from, members,
                       static_cast<double>(times.size()), "members"});
    results.push_back(
        {role, "spread_half" + from, members, quantile(0.5), "s"});
    results.push_back({role, "spread_99" + from, members, quantile(0.99), "s"});
    results.push_back({role, "spread_all" + from, members, quantile(1), "s"});
    results.push_back(
        {role, "spread_bytes" + from, members,
         static_cast<double>(traffic.bytes) / static_cast<double>(members),
         "bytes/node"});
    results.push_back({role, "spread_fetch_bytes" + from, members,
                       static_cast<double>(traffic.fetch_bytes) /
                           static_cast<double>(members),
                       "bytes/node"});
    results.push_back({role, "spread_most_sent" + from, members,
                       static_cast<double>(traffic.max_sent_bytes), "bytes"});
}

}

measurements measure_spread(const bench_options& options)
{
    measurements results;
    const std::size_t members = options.size;
    const std::size_t before = allocated_bytes();
    fleet_simulation fleet(members, options.seed);
    results.push_back({role, "membership_memory", members,
                       static_cast<double>(allocated_bytes() - before) /
                           static_cast<double>(members),
                       "bytes/node"});
    // The first document comes into force everywhere before a change is
    // published.
    fleet.publish(make_document_of_size(10'000, 1), members, publish_limit);
    fleet.run_for(settling_time);
    add_spread(results, fleet, members, 2, 1);
    fleet.run_for(settling_time);
    add_spread(results, fleet, members, 3, 16);
    fleet.run_for(settling_time);
    fleet.reset_traffic();
    const double start = cpu_seconds();
    fleet.run_for(gossip_window);
    const double cpu_time = cpu_seconds() - start;
    const auto traffic = fleet.traffic();
    results.push_back({role, "gossip_sent", members,
                       send_rate_per_node(traffic, members, gossip_window),
                       "bytes/s/node"});
    results.push_back({role, "gossip_message", members,
                       static_cast<double>(traffic.bytes) /
                           static_cast<double>(traffic.messages),
                       "bytes"});
    results.push_back(
        {role, "gossip_cpu", members,
         cpu_time / static_cast<double>(members) / seconds(gossip_window),
         "cores/node"});
    return results;
}

measurements measure_churn(const bench_options& options)
{
    // Restarts per day in the whole fleet at the size planned for the next two
    // years.
    constexpr double restarts_per_day = 3530;
    constexpr std::chrono::seconds span{60};
    const duration restart_interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(86400 / restarts_per_day));
    measurements results;
    const std::size_t members = options.size;
    fleet_simulation fleet(members, options.seed, initial_records::settled);
    fleet.publish(make_document_of_size(10'000, 1), members, publish_limit);
    fleet.run_for(settling_time);
    fleet.reset_traffic();
    for (duration elapsed{0}; elapsed < span; elapsed += restart_interval)
    {
        fleet.restart_random_node();
        fleet.run_for(restart_interval);
    }
    const auto traffic = fleet.traffic();
    const auto restarts = static_cast<double>(
        (duration(span) + restart_interval - duration(1)) / restart_interval);
    const duration measured = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(restarts * seconds(restart_interval)));
    results.push_back({role, "churn_sent", members,
                       send_rate_per_node(traffic, members, measured),
                       "bytes/s/node"});
    results.push_back(
        {role, "churn_most_sent", members,
         static_cast<double>(traffic.max_sent_bytes) / seconds(measured),
         "bytes/s"});
    results.push_back({role, "churn_agreement", members,
                       static_cast<double>(fleet.largest_agreeing_group()),
                       "members"});
    return results;
}

measurements measure_quiet(const bench_options& options)
{
    // Longer than 100 members take to finish relaying every record.
    constexpr std::chrono::seconds relay_time{300};
    measurements results;
    const std::size_t members = options.size;
    fleet_simulation fleet(members, options.seed);
    fleet.publish(make_document_of_size(10'000, 1), members, publish_limit);
    fleet.run_for(relay_time);
    fleet.reset_traffic();
    fleet.run_for(gossip_window);
    results.push_back(
        {role, "quiet_sent", members,
         send_rate_per_node(fleet.traffic(), members, gossip_window),
         "bytes/s/node"});
    return results;
}

measurements measure_exchange(const bench_options& options)
{
    const time_point now{std::chrono::hours(1)};
    gossip_message everyone;
    for (std::size_t index = 0; index < options.size; ++index)
    {
        everyone.records.push_back(
            {.address = "10.0.0.1:" + std::to_string(1000 + index),
             .failure_domain = "jm-kgn",
             .nonce = {index},
             .epoch = 1'700'000'000'000});
    }
    everyone.sender = everyone.records.front();
    membership first({.self = everyone.records.front()}, options.seed);
    membership second({.self = everyone.records.back()}, options.seed + 1);
    first.handle_exchange(everyone, now);
    second.handle_exchange(everyone, now);
    std::size_t bytes = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
    {
        const time_point later =
            now + (iteration + 1) * std::chrono::seconds(10);
        for (const auto& exchange : first.handle_timer(later))
        {
            const std::string request = encode_gossip(exchange.message);
            const std::string reply = encode_gossip(
                second.handle_exchange(decode_gossip(request).value(), later));
            first.handle_reply(everyone.records.back().address,
                               decode_gossip(reply).value(), later);
            bytes = request.size() + reply.size();
        }
    }
    return {{role, "exchange_bytes", options.size, static_cast<double>(bytes),
             "bytes"}};
}

}
