#include "telemetry/metrics.hpp"

#include "telemetry/metric_families.hpp"

#include <prometheus/text_serializer.h>
#include <vector>

namespace wisteriahatch
{

// The registry and one member per metric.
class metrics::implementation
{
public:
    prometheus::Registry registry;
    histogram_family latency{
        {.name = "wisteriahatch_query_duration_seconds",
         .help = "Time from receipt of a query to its answer.",
         .labels = {.first = "class"},
         .bounds = latency_bounds}};
    histogram_family coverage{
        {.name = "wisteriahatch_query_coverage_ratio",
         .help = "Shards covered over shards of the index version.",
         .labels = {.first = "class"},
         .bounds = coverage_bounds}};
    histogram_family extra_load{
        {.name = "wisteriahatch_query_load_ratio",
         .help = "Sub-requests sent over sub-requests needed, a query.",
         .labels = {.first = "class"},
         .bounds = load_bounds}};
    histogram_family runs{
        {.name = "wisteriahatch_run_duration_seconds",
         .help = "Time to the outcome of a non-idempotent request.",
         .labels = {.first = "class", .second = "outcome"},
         .bounds = latency_bounds}};
    counter_family errors{registry,
                          "wisteriahatch_errors_total",
                          "Errors told to callers.",
                          {.first = "kind"}};
    counter_family upstream_failures{registry,
                                     "wisteriahatch_upstream_failures_total",
                                     "Failed sub-requests.",
                                     {.first = "service", .second = "kind"}};
    counter_family documents{registry,
                             "wisteriahatch_documents_total",
                             "Documents received, by result of the check.",
                             {.first = "result"}};
    counter_family control_bytes{registry,
                                 "wisteriahatch_control_bytes_total",
                                 "Bytes of control traffic.",
                                 {.first = "direction"}};
    prometheus::Gauge& serial =
        make_gauge(registry, "wisteriahatch_document_serial",
                   "Serial of the document in force; 0 for none.");
    instance_gauges instance{registry};
};

metrics::metrics()
    : state(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

void metrics::observe_query(std::string_view caller_class, duration latency,
                            double coverage, double extra_load)
{
    this->state->latency.observe(seconds(latency), caller_class);
    this->state->coverage.observe(coverage, caller_class);
    this->state->extra_load.observe(extra_load, caller_class);
}

void metrics::count_run(std::string_view caller_class, std::string_view outcome,
                        duration latency)
{
    this->state->runs.observe(seconds(latency), caller_class, outcome);
}

void metrics::count_error(std::string_view kind)
{
    this->state->errors.add(1, kind);
}

void metrics::count_upstream_failure(std::string_view service,
                                     std::string_view kind)
{
    this->state->upstream_failures.add(1, service, kind);
}

void metrics::count_document(std::string_view result)
{
    this->state->documents.add(1, result);
}

void metrics::set_document_serial(double serial)
{
    this->state->serial.Set(serial);
}

void metrics::count_control_bytes(double sent, double received)
{
    this->state->control_bytes.add(sent, "sent");
    this->state->control_bytes.add(received, "received");
}

instance_gauges& metrics::instance()
{
    return this->state->instance;
}

std::string metrics::text() const
{
    std::vector<prometheus::MetricFamily> families =
        this->state->registry.Collect();
    for (const histogram_family* family :
         {&this->state->latency, &this->state->coverage,
          &this->state->extra_load, &this->state->runs})
        families.push_back(family->collect());
    return prometheus::TextSerializer().Serialize(families);
}

}
