#ifndef WISTERIAHATCH_LOAD_CLASS_REPORT_HPP
#define WISTERIAHATCH_LOAD_CLASS_REPORT_HPP

#include "core/base/time.hpp"
#include "latency_histogram.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace wisteriahatch
{

// Result of one request from the caller's point of view.
struct request_outcome
{
    // Time since the intended start.
    duration latency{0};
    duration deadline{0};
    // Error kind; empty for an answer.
    std::string error;
    // Numbers of answered and missing shards of the index version; 0 if the
    // reply did not name them.
    std::uint64_t covered = 0;
    std::uint64_t lacked = 0;
    bool is_complete = false;
};

// Accumulates the results of the requests of one class.
class class_report
{
public:
    void record(const request_outcome& outcome);
    // Counts a request whose connection was closed or reset before the whole
    // reply was received.
    void count_cut(bool was_reused);
    // Counts the outcome of a non-idempotent request.
    void count_outcome(const std::string& outcome);

    std::uint64_t requests() const;
    std::uint64_t answers() const;
    // Returns the figures as JSON. `elapsed` is the measured time, without
    // warm-up.
    boost::json::object to_json(duration elapsed) const;

private:
    latency_histogram answer_latencies;
    latency_histogram all_latencies;
    std::uint64_t goodput_count = 0;
    std::uint64_t complete_answers = 0;
    std::uint64_t requests_with_shards = 0;
    std::uint64_t shard_count = 0;
    double coverage_sum = 0;
    std::uint64_t cut = 0;
    std::uint64_t cut_on_reused = 0;
    std::map<std::string, std::uint64_t> errors;
    std::map<std::string, std::uint64_t> outcomes;
};

}

#endif
