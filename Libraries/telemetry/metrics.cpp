#include "telemetry/metrics.hpp"

#include "telemetry/atomic_histogram.hpp"
#include "telemetry/series_family.hpp"

#include <chrono>
#include <deque>
#include <iterator>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <utility>
#include <vector>

namespace wisteriahatch
{

namespace
{

// Names of a metric's labels; an empty name is unused.
struct label_names
{
    std::string first;
    std::string second;

    prometheus::Labels with(std::string_view first_value,
                            std::string_view second_value) const
    {
        prometheus::Labels labels{{this->first, std::string(first_value)}};
        if (!this->second.empty())
            labels.emplace(this->second, second_value);
        return labels;
    }
};

// A metric's name, help text, labels and buckets.
struct histogram_options
{
    std::string name;
    std::string help;
    label_names labels;
    std::vector<double> bounds;
};

// A histogram with labels.
class histogram_family
{
public:
    explicit histogram_family(histogram_options values)
        : chosen(std::move(values))
        , series([this](std::string_view first, std::string_view second)
                 { return this->add(first, second); })
    {
    }

    void observe(double value, std::string_view first,
                 std::string_view second = {})
    {
        this->series.at(first, second).observe(value);
    }

    prometheus::MetricFamily collect() const
    {
        prometheus::MetricFamily family{.name = this->chosen.name,
                                        .help = this->chosen.help,
                                        .type =
                                            prometheus::MetricType::Histogram,
                                        .metric = {}};
        const std::lock_guard lock(this->mutex);
        for (const auto& [labels, histogram] : this->histograms)
        {
            prometheus::ClientMetric metric = histogram.collect();
            for (const auto& [name, value] : labels)
                metric.label.push_back({.name = name, .value = value});
            family.metric.push_back(std::move(metric));
        }
        return family;
    }

private:
    atomic_histogram* add(std::string_view first, std::string_view second)
    {
        const std::lock_guard lock(this->mutex);
        return &this->histograms
                    .emplace_back(std::piecewise_construct,
                                  std::forward_as_tuple(
                                      this->chosen.labels.with(first, second)),
                                  std::forward_as_tuple(this->chosen.bounds))
                    .second;
    }

    histogram_options chosen;
    mutable std::mutex mutex;
    // A deque keeps the address of each element.
    std::deque<std::pair<prometheus::Labels, atomic_histogram>> histograms;
    series_family<atomic_histogram> series;
};

// A counter with labels.
class counter_family
{
public:
    counter_family(prometheus::Registry& registry, const std::string& name,
                   const std::string& help, label_names labels)
        : series([&family =
                      prometheus::BuildCounter().Name(name).Help(help).Register(
                          registry),
                  labels = std::move(labels)](std::string_view first,
                                              std::string_view second)
                 { return &family.Add(labels.with(first, second)); })
    {
    }

    void add(double value, std::string_view first, std::string_view second = {})
    {
        this->series.at(first, second).Increment(value);
    }

private:
    series_family<prometheus::Counter> series;
};

prometheus::Gauge& make_gauge(prometheus::Registry& registry,
                              const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// From a local answer to the longest deadline in use, with steps of at most
// 2.5 and a bound at the 260 ms target.
const std::vector<double> latency_bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15,
    0.2,   0.26,   0.4,   0.6,  0.8,   1,    2.5,   5,   10};
const std::vector<double> coverage_bounds{0,    0.25, 0.5,   0.75, 0.9,
                                          0.95, 0.99, 0.999, 1};
// Sub-requests sent over needed; 1 is no extra load.
const std::vector<double> load_bounds{1, 1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3};

}

// The registry and one member a metric.
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
    prometheus::Gauge& members =
        make_gauge(registry, "wisteriahatch_members_alive",
                   "Members seen alive, this instance included.");
    prometheus::Gauge& running =
        make_gauge(registry, "wisteriahatch_running_requests",
                   "Requests read and not yet answered.");
    prometheus::Gauge& ready = make_gauge(registry, "wisteriahatch_ready",
                                          "1 when the instance is ready.");
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

void metrics::set_members(double alive)
{
    this->state->members.Set(alive);
}

void metrics::set_running_requests(double count)
{
    this->state->running.Set(count);
}

void metrics::set_ready(bool value)
{
    this->state->ready.Set(value ? 1 : 0);
}

void metrics::count_control_bytes(double sent, double received)
{
    this->state->control_bytes.add(sent, "sent");
    this->state->control_bytes.add(received, "received");
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
