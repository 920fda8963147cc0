#ifndef WISTERIAHATCH_LOAD_LATENCY_HISTOGRAM_HPP
#define WISTERIAHATCH_LOAD_LATENCY_HISTOGRAM_HPP

#include "core/base/time.hpp"

#include <cstdint>
#include <memory>

namespace wisteriahatch
{

// Latencies from 1 microsecond to 100 s on a logarithmic axis whose bins are
// 1% wide, so that a quantile is exact to 1%.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;

    void record(duration latency);
    std::uint64_t count() const;
    // Upper bound of the bin that holds the quantile, in milliseconds; 0 when
    // nothing was recorded.
    double quantile_ms(double fraction) const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
