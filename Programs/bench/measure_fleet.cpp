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
constexpr std::chrono::seconds settle{4};
constexpr std::chrono::seconds window{6};
constexpr std::chrono::seconds publish_limit{60};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Bytes a node sends each second on average.
double rate_of(const control_traffic& traffic, std::size_t members,
               duration span)
{
    return static_cast<double>(traffic.bytes) / static_cast<double>(members) /
           seconds(span);
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Publishes one change and adds how it spread.
void add_spread(figures& found, fleet_simulation& fleet, std::size_t members,
                std::uint64_t serial, std::size_t receivers)
{
    fleet.reset_traffic();
    const std::string text = make_document_of_size(10'000, serial);
    const auto times = fleet.publish(text, receivers, publish_limit);
    const std::string from = "_from_" + std::to_string(receivers);
    const auto at = [&](double fraction)
    {
        return seconds(times[static_cast<std::size_t>(
            fraction * static_cast<double>(times.size() - 1))]);
    };
    const auto traffic = fleet.traffic();
    found.push_back({role, "spread_informed" + from, members,
                     static_cast<double>(times.size()), "members"});
    found.push_back({role, "spread_half" + from, members, at(0.5), "s"});
    found.push_back({role, "spread_99" + from, members, at(0.99), "s"});
    found.push_back({role, "spread_all" + from, members, at(1), "s"});
    found.push_back(
        {role, "spread_bytes" + from, members,
         static_cast<double>(traffic.bytes) / static_cast<double>(members),
         "bytes/node"});
    found.push_back({role, "spread_fetch_bytes" + from, members,
                     static_cast<double>(traffic.fetch_bytes) /
                         static_cast<double>(members),
                     "bytes/node"});
    found.push_back({role, "spread_most_sent" + from, members,
                     static_cast<double>(traffic.most_sent), "bytes"});
}

}

figures measure_spread(const bench_options& options)
{
    figures found;
    const std::size_t members = options.size;
    const std::size_t before = allocated_bytes();
    fleet_simulation fleet(members, options.seed);
    found.push_back({role, "membership_memory", members,
                     static_cast<double>(allocated_bytes() - before) /
                         static_cast<double>(members),
                     "bytes/node"});
    // The first document comes into force everywhere, then one change.
    fleet.publish(make_document_of_size(10'000, 1), members, publish_limit);
    fleet.run_for(settle);
    add_spread(found, fleet, members, 2, 1);
    fleet.run_for(settle);
    add_spread(found, fleet, members, 3, 16);
    fleet.run_for(settle);
    fleet.reset_traffic();
    const double start = cpu_seconds();
    fleet.run_for(window);
    const double spent = cpu_seconds() - start;
    const auto traffic = fleet.traffic();
    found.push_back({role, "gossip_sent", members,
                     rate_of(traffic, members, window), "bytes/s/node"});
    found.push_back({role, "gossip_message", members,
                     static_cast<double>(traffic.bytes) /
                         static_cast<double>(traffic.messages),
                     "bytes"});
    found.push_back({role, "gossip_cpu", members,
                     spent / static_cast<double>(members) / seconds(window),
                     "cores/node"});
    return found;
}

figures measure_churn(const bench_options& options)
{
    // Restarts of the whole fleet a day, from the two-year size.
    constexpr double restarts_a_day = 3530;
    constexpr std::chrono::seconds span{60};
    const duration pause = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(86400 / restarts_a_day));
    figures found;
    const std::size_t members = options.size;
    fleet_simulation fleet(members, options.seed, initial_records::settled);
    fleet.publish(make_document_of_size(10'000, 1), members, publish_limit);
    fleet.run_for(settle);
    fleet.reset_traffic();
    for (duration passed{0}; passed < span; passed += pause)
    {
        fleet.restart_one();
        fleet.run_for(pause);
    }
    const auto traffic = fleet.traffic();
    const auto restarts =
        static_cast<double>((duration(span) + pause - duration(1)) / pause);
    const duration measured = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(restarts * seconds(pause)));
    found.push_back({role, "churn_sent", members,
                     rate_of(traffic, members, measured), "bytes/s/node"});
    found.push_back({role, "churn_most_sent", members,
                     static_cast<double>(traffic.most_sent) / seconds(measured),
                     "bytes/s"});
    found.push_back({role, "churn_agreement", members,
                     static_cast<double>(fleet.largest_agreement()),
                     "members"});
    return found;
}

figures measure_quiet(const bench_options& options)
{
    // Longer than 100 members take to send every record often enough.
    constexpr std::chrono::seconds until_quiet{300};
    figures found;
    const std::size_t members = options.size;
    fleet_simulation fleet(members, options.seed);
    fleet.publish(make_document_of_size(10'000, 1), members, publish_limit);
    fleet.run_for(until_quiet);
    fleet.reset_traffic();
    fleet.run_for(window);
    found.push_back({role, "quiet_sent", members,
                     rate_of(fleet.traffic(), members, window),
                     "bytes/s/node"});
    return found;
}

figures measure_exchange(const bench_options& options)
{
    const time_point now{std::chrono::hours(1)};
    gossip_message everyone;
    for (std::size_t at = 0; at < options.size; ++at)
    {
        everyone.records.push_back(
            {.address = "10.0.0.1:" + std::to_string(1000 + at),
             .failure_domain = "jm-kgn",
             .nonce = {at},
             .epoch = 1'700'000'000'000});
    }
    everyone.sender = everyone.records.front();
    membership first({.self = everyone.records.front()}, options.seed);
    membership second({.self = everyone.records.back()}, options.seed + 1);
    first.handle_exchange(everyone, now);
    second.handle_exchange(everyone, now);
    std::size_t bytes = 0;
    for (std::size_t at = 0; at < options.iterations; ++at)
    {
        const time_point later = now + (at + 1) * std::chrono::seconds(10);
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
