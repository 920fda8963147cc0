#ifndef WISTERIAHATCH_TELEMETRY_ATOMIC_HISTOGRAM_HPP
#define WISTERIAHATCH_TELEMETRY_ATOMIC_HISTOGRAM_HPP

#include <atomic>
#include <cstdint>
#include <prometheus/client_metric.h>
#include <vector>

namespace wisteriahatch
{

// One series of a histogram, exported as a prometheus::ClientMetric. Recording
// takes no lock, whereas prometheus::Histogram::Observe locks a mutex.
class atomic_histogram
{
public:
    // `bounds` are the inclusive upper bounds in ascending order; a last bucket
    // without an upper bound is added.
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
