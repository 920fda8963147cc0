#ifndef WISTERIAHATCH_LOAD_LOAD_OPTIONS_HPP
#define WISTERIAHATCH_LOAD_LOAD_OPTIONS_HPP

#include "arrival_schedule.hpp"
#include "core/base/error.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// One class of requests to send.
struct class_load
{
    std::string name;
    // Requests per second.
    double rate = 0;
    // Later answers don't count as goodput.
    std::chrono::milliseconds deadline{0};
};

// Kind of the requests: queries, or non-idempotent runs.
enum class load_mode : std::uint8_t
{
    queries,
    runs,
};

// Validated options of one measurement.
struct load_options
{
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    // Admin ports of the entries in the same order, or empty.
    std::vector<boost::asio::ip::tcp::endpoint> admin_ports;
    std::vector<boost::asio::ip::tcp::endpoint> upstream_counters;
    std::string service;
    std::vector<class_load> classes;
    std::chrono::milliseconds duration{0};
    // Requests scheduled before this time are sent but not reported.
    std::chrono::milliseconds warmup{0};
    arrival_process arrivals = arrival_process::poisson;
    std::uint64_t seed = 1;
    unsigned connections = 0;
    load_mode mode = load_mode::queries;
    // Probability that a non-idempotent request is repeated.
    double repeat = 0;
};

// Option values as given on the command line.
struct load_arguments
{
    std::string entries;
    std::string admin_ports;
    std::string upstream_counters;
    std::string service;
    std::string caller_class;
    std::string rate;
    double duration_s = 0;
    double warmup_s = 0;
    std::string arrivals;
    std::uint64_t seed = 1;
    std::int64_t deadline_ms = 0;
    unsigned connections = 0;
    std::string mode;
    double repeat = 0;
};

// Validates the arguments. The message of an invalid_settings error names the
// option and how to correct it.
result<load_options> parse_arguments(const load_arguments& arguments);

}

#endif
