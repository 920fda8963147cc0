#ifndef WISTERIAHATCH_LOAD_LOAD_DRIVER_HPP
#define WISTERIAHATCH_LOAD_LOAD_DRIVER_HPP

#include "balancer.hpp"
#include "class_report.hpp"
#include "keep_alive_client.hpp"
#include "load_options.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Sends requests on schedule, regardless of replies, and records the result of
// each. Not thread-safe.
class load_driver
{
public:
    // Time after a request's deadline at which its caller stops waiting.
    static constexpr std::chrono::seconds expiry_grace{2};
    // A repeat starts at a random time within this window after the first send.
    static constexpr std::chrono::milliseconds repeat_window{50};
    static constexpr std::chrono::milliseconds readiness_poll_interval{250};

    load_driver(boost::asio::io_context& context, load_options options);

    // Sends all requests and returns after the last one has ended.
    void run();

    const std::vector<class_report>& classes() const;
    // Replies that contradict the caller interface, by kind.
    const std::map<std::string, std::uint64_t>& violations() const;
    // Sub-requests, one per shard, of the queries whose reply named their
    // shards, warm-up included.
    std::uint64_t required_sub_requests() const;
    // Queries whose reply named no shards, warm-up included.
    std::uint64_t queries_without_shards() const;

private:
    // Outcomes that callers received for one run id.
    struct run_record
    {
        std::string run_id;
        std::string payload;
        bool was_done = false;
        bool was_not_run = false;
        std::string reply;
    };

    // A request of the schedule.
    struct scheduled_request
    {
        std::uint64_t number = 0;
        std::size_t caller_class = 0;
        time_point intended;
        time_point expiry;
        bool is_measured = false;
    };

    // A reply and the entry that sent it.
    struct entry_reply
    {
        exchange_result result;
        std::size_t entry = 0;
    };

    void spawn(boost::asio::awaitable<void> task);
    boost::asio::awaitable<void> run_schedule();
    boost::asio::awaitable<void> poll_readiness();
    // Sends to `entry`, then to other entries while connecting fails.
    boost::asio::awaitable<entry_reply> send(std::size_t entry,
                                             std::string target,
                                             std::string body,
                                             time_point expiry);
    boost::asio::awaitable<void> send_query(scheduled_request scheduled);
    boost::asio::awaitable<void> send_run(scheduled_request scheduled);
    boost::asio::awaitable<void> send_run_once(scheduled_request scheduled,
                                               std::shared_ptr<run_record> run,
                                               std::size_t entry,
                                               bool is_repeat);
    void record(const scheduled_request& scheduled, request_outcome outcome);
    void record_failure(const scheduled_request& scheduled,
                        const exchange_result& result);
    // Records the outcome and counts a violation if it contradicts an earlier
    // one of the same run.
    void check_outcome(run_record& run, const std::string& outcome,
                       const std::string& reply);

    boost::asio::io_context& context;
    load_options options;
    keep_alive_client client;
    balancer entries;
    std::mt19937_64 random;
    time_point started;
    bool is_scheduling = true;
    std::uint64_t running = 0;
    std::vector<class_report> reports;
    std::map<std::string, std::uint64_t> violation_counts;
    std::uint64_t required_sub_request_count = 0;
    std::uint64_t without_shards_count = 0;
};

}

#endif
