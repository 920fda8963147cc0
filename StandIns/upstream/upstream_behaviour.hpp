#ifndef WISTERIAHATCH_STANDINS_UPSTREAM_UPSTREAM_BEHAVIOUR_HPP
#define WISTERIAHATCH_STANDINS_UPSTREAM_UPSTREAM_BEHAVIOUR_HPP

#include "core/base/error.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahatch
{

// How a stand-in upstream behaves. POST /control changes any member at run
// time; the key in its JSON object is the member's name.
struct upstream_behaviour
{
    // Requests worked on at once, and requests that may wait for a slot.
    std::int64_t slots = 3;
    std::int64_t queue = 64;
    // Service time of a request: its mean, "fixed" or "exponential", and
    // factors.
    double latency_ms = 5;
    std::string latency_model = "exponential";
    double straggler_factor = 1;
    // From the start, or from the control key "restart" on.
    std::int64_t cold_start_ms = 0;
    double cold_start_factor = 1;
    // Index versions held, by service. A service that is not listed holds
    // every version and reports none.
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> versions;

    // Answers normally and says that it is leaving.
    bool draining = false;
    // Answers 503 to all work.
    bool shed_all = false;
    // Holds every reply back until it is false again.
    bool pause_replies = false;
    // Answers 500 to all work at once.
    bool fail_fast = false;
    bool truncate_replies = false;
    // Adds this many bytes to each reply.
    std::int64_t oversize_bytes = 0;
    // Answers with the id of the request before, another version or another
    // shard.
    bool wrong_request_id = false;
    bool wrong_version = false;
    bool wrong_shard = false;
    // Load to report instead of the true one.
    std::optional<double> reported_load;
};

// Changes the members named in `control`. Unknown keys and values of a wrong
// type are errors, and nothing changes.
result<void> change_behaviour(upstream_behaviour& behaviour,
                              const boost::json::object& control);

// Parses "service=1,2;other=1".
result<std::map<std::string, std::vector<std::uint64_t>, std::less<>>>
parse_versions(const std::string& text);

}

#endif
