#ifndef WISTERIAHATCH_LOAD_LATENCY_HISTOGRAM_HPP
#define WISTERIAHATCH_LOAD_LATENCY_HISTOGRAM_HPP

#include "core/base/time.hpp"

#include <cstdint>
#include <memory>

namespace wisteriahatch
{

// Histogram of latencies from 1 microsecond to 100 s on a logarithmic axis. The
// bins are 1% wide, so quantiles are accurate to 1%.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;

    void record(duration latency);
    std::uint64_t count() const;
    // Returns the upper bound of the quantile's bin, in milliseconds, or 0 if
    // nothing was recorded.
    double quantile_ms(double fraction) const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
