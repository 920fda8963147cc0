#ifndef WISTERIAHATCH_TELEMETRY_METRICS_HPP
#define WISTERIAHATCH_TELEMETRY_METRICS_HPP

#include "core/base/time.hpp"
#include "telemetry/instance_gauges.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Metrics of a process that answers queries and runs. Thread-safe; recording
// takes a lock only for the first use of a series on a thread.
class metrics
{
public:
    metrics();
    ~metrics();

    // Records a query by class: its latency (exported in seconds), the ratio of
    // shards covered, and its extra load as sub-requests sent divided by
    // sub-requests needed.
    void observe_query(std::string_view caller_class, duration latency,
                       double coverage, double extra_load);
    // Records the latency of a non-idempotent request, by class and outcome.
    void count_run(std::string_view caller_class, std::string_view outcome,
                   duration latency);
    // Counts an error reply to a caller, by kind.
    void count_error(std::string_view kind);
    // Counts a failed sub-request, by service and kind.
    void count_upstream_failure(std::string_view service,
                                std::string_view kind);
    // Counts a received document by the result of its check: "accepted",
    // "stale" or "invalid".
    void count_document(std::string_view result);
    // Sets the serial of the document in force.
    void set_document_serial(double serial);
    // Counts bytes of control traffic.
    void count_control_bytes(double sent, double received);

    // Returns the gauges that every instance exports.
    instance_gauges& instance();

    // Returns all metrics in the text exposition format, for GET /metrics.
    std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
