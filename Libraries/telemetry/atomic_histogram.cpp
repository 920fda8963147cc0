#include "telemetry/atomic_histogram.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace wisteriahatch
{

atomic_histogram::atomic_histogram(std::vector<double> bounds)
    : bounds(std::move(bounds))
    , counts(this->bounds.size() + 1)
{
}

void atomic_histogram::observe(double value)
{
    const auto bucket =
        std::lower_bound(this->bounds.begin(), this->bounds.end(), value) -
        this->bounds.begin();
    this->counts[static_cast<std::size_t>(bucket)].fetch_add(
        1, std::memory_order_relaxed);
    this->sum.fetch_add(value, std::memory_order_relaxed);
}

prometheus::ClientMetric atomic_histogram::collect() const
{
    prometheus::ClientMetric metric;
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < this->counts.size(); ++bucket)
    {
        cumulative += this->counts[bucket].load(std::memory_order_relaxed);
        const double bound = bucket < this->bounds.size()
                                 ? this->bounds[bucket]
                                 : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back(
            {.cumulative_count = cumulative, .upper_bound = bound});
    }
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = this->sum.load(std::memory_order_relaxed);
    return metric;
}

}
