#ifndef WISTERIAHATCH_CORE_PROCESS_LATENCY_WINDOW_HPP
#define WISTERIAHATCH_CORE_PROCESS_LATENCY_WINDOW_HPP

#include "core/base/time.hpp"

#include <memory>

namespace wisteriahatch
{

// Histogram of the sub-request latencies of the current and the previous
// window. Thread-safe; recording takes no lock.
class latency_window
{
public:
    static constexpr std::chrono::seconds window_length{5};

    latency_window();
    ~latency_window();

    void record(duration latency, time_point now);
    // Returns the quantile (0 to 1) over both windows, or `fallback` when
    // fewer than 50 latencies were recorded.
    duration quantile(double fraction, duration fallback) const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

}

#endif
