#ifndef WISTERIAHATCH_TELEMETRY_ATOMIC_HISTOGRAM_HPP
#define WISTERIAHATCH_TELEMETRY_ATOMIC_HISTOGRAM_HPP

#include <atomic>
#include <cstdint>
#include <prometheus/client_metric.h>
#include <vector>

namespace wisteriahatch
{

// One series of a histogram, exported in prometheus-cpp's form. Recording
// takes no lock; prometheus::Histogram::Observe takes a mutex.
class atomic_histogram
{
public:
    // `bounds` are the inclusive upper bounds in ascending order; the bucket
    // above the last is implied.
    explicit atomic_histogram(std::vector<double> bounds);

    void observe(double value);
    prometheus::ClientMetric collect() const;

private:
    std::vector<double> bounds;
    std::vector<std::atomic<std::uint64_t>> counts;
    std::atomic<double> sum{0};
};

}

#endif
