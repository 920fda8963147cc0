#ifndef WISTERIAHATCH_STANDINS_UPSTREAM_STAND_IN_UPSTREAM_HPP
#define WISTERIAHATCH_STANDINS_UPSTREAM_STAND_IN_UPSTREAM_HPP

#include "core/base/time.hpp"
#include "net/http_server.hpp"
#include "StandIns/upstream/slot_queue.hpp"
#include "StandIns/upstream/upstream_behaviour.hpp"
#include "StandIns/upstream/upstream_counters.hpp"

#include <memory>
#include <optional>
#include <random>
#include <string>

namespace wisteriahatch
{

// Stands in for one upstream with its own address, slots, connection limit and
// counters. `workers` must have exactly one worker, so that no locks are
// needed; several upstreams can share that worker.
class stand_in_upstream
{
public:
    struct options
    {
        std::string name;
        boost::asio::ip::tcp::endpoint listen;
        std::size_t connections = 30;
        std::uint64_t seed = 1;
        upstream_behaviour behaviour;
    };

    stand_in_upstream(worker_pool& workers, options opts);

    result<void> start();
    const std::string& name() const;
    boost::asio::ip::tcp::endpoint endpoint() const;
    // Returns the worker on which counters() and control() must be called.
    boost::asio::io_context& worker() const;

    boost::json::object counters() const;
    result<void> control(const boost::json::object& changes);

private:
    // A parsed request to /search or /run.
    struct work
    {
        bool is_run = false;
        std::string request_id;
        std::string service;
        std::string shard;
        std::uint64_t version = 0;
        std::string query;
        // Run id from the payload of /run, or empty.
        std::string run_id;
        time_point deadline;
    };

    using ticket_ptr = slot_queue::ticket_ptr;

    boost::asio::awaitable<http_reply> handle(http_request request);
    boost::asio::awaitable<http_reply> handle_work(http_request request,
                                                   bool is_run);
    // Handles a request that has a slot or was cancelled in the queue. Returns
    // nothing if it was given up because the peer closed the connection.
    boost::asio::awaitable<std::optional<http_reply>> serve(const work& item,
                                                            ticket_ptr ticket);
    // Waits until `done`, or until the request is cancelled if
    // `is_cancellable` is true.
    boost::asio::awaitable<void> wait_until(ticket_ptr ticket, time_point done,
                                            bool is_cancellable);
    // Returns a reply if the request is refused before it takes a slot.
    std::optional<http_reply> refuse(const work& item);
    void count_start(const work& item);

    static std::optional<work> parse_work(const http_request& request,
                                          bool is_run);
    http_reply make_shed_reply(const work& item) const;
    http_reply make_work_reply(const work& item);
    http_reply make_status_reply(const std::string& service) const;
    http_reply handle_control(const std::string& body);
    // Adds x-draining, x-load and, for a service, x-index-versions.
    void add_headers(http_reply& reply, const std::string& service) const;
    duration service_time();
    double load() const;

    worker_pool& workers;
    options values;
    upstream_behaviour behaviour;
    upstream_counters counted;
    slot_queue slots;
    std::mt19937_64 random;
    time_point started;
    std::string previous_request_id = "none";
    http_server server;
};

}

#endif
