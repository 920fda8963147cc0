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

// Behaviour of a stand-in upstream. POST /control changes any member at run
// time; the key in its JSON object is the member's name.
struct upstream_behaviour
{
    // Maximum number of requests in slots, and of requests waiting for one.
    std::int64_t slots = 3;
    std::int64_t queue = 64;
    // Service time of a request: its mean, its distribution ("fixed" or
    // "exponential") and a factor.
    double latency_ms = 5;
    std::string latency_model = "exponential";
    double straggler_factor = 1;
    // Duration after the start during which `cold_start_factor` also applies.
    std::int64_t cold_start_ms = 0;
    double cold_start_factor = 1;
    // Index versions held, by service. A service that is not listed holds
    // every version and reports none.
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> versions;

    // Answers normally and reports that it is draining.
    bool draining = false;
    // Answers 503 to all work.
    bool shed_all = false;
    // Delays every reply until this is false again.
    bool pause_replies = false;
    // Answers 500 to all work immediately.
    bool fail_fast = false;
    bool truncate_replies = false;
    // Adds this many bytes to each reply.
    std::int64_t oversize_bytes = 0;
    // Answers with the id of the previous request, another version or another
    // shard.
    bool wrong_request_id = false;
    bool wrong_version = false;
    bool wrong_shard = false;
    // Load to report instead of the measured one.
    std::optional<double> reported_load;
};

// Changes the members named in `control`. For an unknown key or a value of a
// wrong type it returns an error and changes nothing.
result<void> change_behaviour(upstream_behaviour& behaviour,
                              const boost::json::object& control);

// Parses index versions by service, such as "service=1,2;other=1".
result<std::map<std::string, std::vector<std::uint64_t>, std::less<>>>
parse_versions(const std::string& text);

}

#endif
