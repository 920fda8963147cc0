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

// Sends requests at the times of the schedule, whatever the answers, and
// records how each ended. For one thread.
class load_driver
{
public:
    // A caller gives up this long after its deadline.
    static constexpr std::chrono::seconds give_up_grace{2};
    // A repeated request starts within this time of the first.
    static constexpr std::chrono::milliseconds repeat_window{50};
    static constexpr std::chrono::milliseconds ready_interval{250};

    load_driver(boost::asio::io_context& context, load_options options);

    // Sends every request and returns when the last has ended.
    void run();

    const std::vector<class_report>& classes() const;
    // Replies that contradict the caller interface, by kind.
    const std::map<std::string, std::uint64_t>& violations() const;
    // Sub-requests that the answered queries needed, warm-up included.
    std::uint64_t needed() const;
    // Queries whose reply named no shards, warm-up included.
    std::uint64_t queries_without_shards() const;

private:
    // What callers were told about one run id.
    struct run_record
    {
        std::string run_id;
        std::string payload;
        bool was_done = false;
        bool was_not_run = false;
        std::string reply;
    };

    // A request that is due.
    struct due_request
    {
        std::uint64_t number = 0;
        std::size_t caller_class = 0;
        time_point intended;
        time_point give_up;
        bool is_measured = false;
    };

    // A reply and the entry that sent it.
    struct entry_reply
    {
        exchange_result result;
        std::size_t entry = 0;
    };

    void spawn(boost::asio::awaitable<void> task);
    boost::asio::awaitable<void> follow_schedule();
    boost::asio::awaitable<void> follow_readiness();
    // Sends to `entry`, and to the next ones while connecting fails.
    boost::asio::awaitable<entry_reply> send(std::size_t entry,
                                             std::string target,
                                             std::string body,
                                             time_point give_up);
    boost::asio::awaitable<void> send_query(due_request due);
    boost::asio::awaitable<void> send_run(due_request due);
    boost::asio::awaitable<void> send_run_once(due_request due,
                                               std::shared_ptr<run_record> run,
                                               std::size_t entry,
                                               bool is_repeat);
    void record(const due_request& due, request_end end);
    void record_failure(const due_request& due, const exchange_result& result);
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
    std::uint64_t needed_count = 0;
    std::uint64_t without_shards = 0;
};

}

#endif
