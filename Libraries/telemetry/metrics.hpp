#ifndef WISTERIAHATCH_TELEMETRY_METRICS_HPP
#define WISTERIAHATCH_TELEMETRY_METRICS_HPP

#include "core/base/time.hpp"
#include "telemetry/instance_gauges.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// The metrics of a process, kept by prometheus-cpp. Thread-safe; recording
// takes no lock after a series was first used on a thread.
class metrics
{
public:
    metrics();
    ~metrics();

    // Latency in seconds, coverage as a ratio, extra load as sub-requests sent
    // over needed, for one query of a class.
    void observe_query(std::string_view caller_class, duration latency,
                       double coverage, double extra_load);
    // A non-idempotent request that ended with `outcome`.
    void count_run(std::string_view caller_class, std::string_view outcome,
                   duration latency);
    // An error told to a caller, by kind.
    void count_error(std::string_view kind);
    // A failed sub-request, by service and kind.
    void count_upstream_failure(std::string_view service,
                                std::string_view kind);
    // A document that was accepted or refused ("accepted", "stale", "invalid").
    void count_document(std::string_view result);
    // Current values.
    void set_document_serial(double serial);
    // Bytes of control traffic sent and received.
    void count_control_bytes(double sent, double received);

    // What every instance exports.
    instance_gauges& instance();

    // Text exposition format for GET /metrics.
    std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
