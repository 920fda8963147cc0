#ifndef WISTERIAHATCH_TELEMETRY_METRIC_FAMILIES_HPP
#define WISTERIAHATCH_TELEMETRY_METRIC_FAMILIES_HPP

#include "core/base/time.hpp"
#include "telemetry/atomic_histogram.hpp"
#include "telemetry/series_family.hpp"

#include <chrono>
#include <deque>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Building blocks of the classes metrics and forwarding_metrics.
namespace wisteriahatch
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

// Name, help text, labels and bucket bounds of a histogram.
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
    explicit histogram_family(histogram_options opts)
        : config(std::move(opts))
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
        prometheus::MetricFamily family{.name = this->config.name,
                                        .help = this->config.help,
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
                                      this->config.labels.with(first, second)),
                                  std::forward_as_tuple(this->config.bounds))
                    .second;
    }

    histogram_options config;
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

// Registers a gauge without labels.
inline prometheus::Gauge& make_gauge(prometheus::Registry& registry,
                                     const std::string& name,
                                     const std::string& help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

// Returns the time in seconds, the unit of every duration metric.
inline double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// In seconds, from the latency of a local answer to the longest deadline in
// use. Each bound is at most 2.5 times the one before it, and one is at the
// latency target of 260 ms.
inline const std::vector<double> latency_bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15,
    0.2,   0.26,   0.4,   0.6,  0.8,   1,    2.5,   5,   10};
inline const std::vector<double> coverage_bounds{0,    0.25, 0.5,   0.75, 0.9,
                                                 0.95, 0.99, 0.999, 1};
// Sub-requests sent divided by sub-requests needed; 1 means no extra load.
inline const std::vector<double> load_bounds{1,   1.01, 1.02, 1.05, 1.1,
                                             1.2, 1.5,  2,    3};

}

#endif
