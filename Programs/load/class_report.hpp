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

// How one request ended, as its caller sees it.
struct request_end
{
    // Time from the intended start.
    duration latency{0};
    duration deadline{0};
    // Error kind; empty for an answer.
    std::string error;
    // Shards of the index version; 0 when the reply did not name them.
    std::uint64_t covered = 0;
    std::uint64_t lacked = 0;
    bool is_complete = false;
};

// The figures of one class.
class class_report
{
public:
    void record(const request_end& end);
    // A request that was closed or reset without a reply.
    void count_cut(bool was_reused);
    // A non-idempotent request's outcome.
    void count_outcome(const std::string& outcome);

    std::uint64_t requests() const;
    std::uint64_t answers() const;
    // Figures as JSON. `elapsed` is the measured time, without warm-up.
    boost::json::object to_json(duration elapsed) const;

private:
    latency_histogram answered;
    latency_histogram all;
    std::uint64_t good = 0;
    std::uint64_t complete = 0;
    std::uint64_t with_shards = 0;
    std::uint64_t shards = 0;
    double coverage_sum = 0;
    std::uint64_t cut = 0;
    std::uint64_t cut_reused = 0;
    std::map<std::string, std::uint64_t> errors;
    std::map<std::string, std::uint64_t> outcomes;
};

}

#endif
