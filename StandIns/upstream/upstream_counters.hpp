#ifndef WISTERIAHATCH_STANDINS_UPSTREAM_UPSTREAM_COUNTERS_HPP
#define WISTERIAHATCH_STANDINS_UPSTREAM_UPSTREAM_COUNTERS_HPP

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace wisteriahatch
{

// Counters of a stand-in upstream. GET /counters returns each member under its
// name, together with the connection counts of the server.
struct upstream_counters
{
    std::uint64_t received = 0;
    // Peak number of requests in slots or waiting, and of those waiting.
    std::uint64_t in_flight_max = 0;
    std::uint64_t beyond_slots_max = 0;
    std::uint64_t searches_started = 0;
    std::uint64_t searches_finished = 0;
    std::uint64_t runs_started = 0;
    std::uint64_t runs_finished = 0;
    // Requests whose connection closed before or during the work. A run that
    // has started is completed nevertheless.
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    // Answered 503 because the deadline passed before the work started.
    std::uint64_t expired = 0;
    std::uint64_t versions_refused = 0;
    // Requests received while `draining` was set.
    std::uint64_t work_after_drain = 0;
    std::uint64_t malformed = 0;
    // Executions of /run by request id, and by the payload's run_id if there
    // is one.
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, std::uint64_t> run_ids;

    boost::json::object to_json() const;
};

}

#endif
