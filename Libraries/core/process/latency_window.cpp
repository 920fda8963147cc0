#include "core/process/latency_window.hpp"

#include <array>
#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>

namespace wisteriahatch
{

namespace
{

// Quantiles of fewer latencies than this are left to the fallback.
constexpr std::uint64_t min_latencies = 50;

// In seconds. 280 bins over six decades are 5% wide.
constexpr double lowest = 100e-6;
constexpr double highest = 100;
constexpr unsigned bins = 280;

using log_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using thread_safe_count =
    boost::histogram::accumulators::count<std::uint64_t, true>;
using window_histogram = boost::histogram::histogram<
    std::tuple<log_axis>, boost::histogram::dense_storage<thread_safe_count>>;

window_histogram make_window()
{
    return window_histogram(std::tuple(log_axis(bins, lowest, highest)));
}

std::int64_t period_of(time_point now)
{
    return now.time_since_epoch() / latency_window::window_length;
}

}

class latency_window::implementation
{
public:
    void record(duration latency, time_point now)
    {
        this->rotate(period_of(now));
        // Latencies from before the current period count as current.
        const auto slot = static_cast<std::size_t>(this->period & 1);
        this->windows[slot](std::chrono::duration<double>(latency).count());
    }

    duration quantile(double fraction, duration fallback) const
    {
        std::array<std::uint64_t, bins + 2> counts{};
        std::uint64_t total = 0;
        for (std::size_t slot = 0; slot < counts.size(); ++slot)
        {
            // Bin -1 holds the latencies below the axis.
            const int bin = static_cast<int>(slot) - 1;
            auto& count = counts[slot];
            for (const auto& window : this->windows)
                count += static_cast<std::uint64_t>(window.at(bin).value());
            total += count;
        }
        if (total < min_latencies)
            return fallback;

        const double wanted = fraction * static_cast<double>(total);
        std::uint64_t seen = 0;
        std::size_t bin = 0;
        while (bin + 1 < counts.size() - 1)
        {
            seen += counts[bin];
            if (static_cast<double>(seen) >= wanted && seen > 0)
                break;
            ++bin;
        }
        // counts[0] is the underflow bin, whose upper edge is edge 0.
        const double edge =
            this->windows[0].axis().value(static_cast<int>(bin));
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(edge));
    }

private:
    // Makes the window of `now_period` current, and empties the windows whose
    // period is over. Counts recorded by other threads during the change may
    // be lost; that is a few latencies every five seconds.
    void rotate(std::int64_t now_period)
    {
        std::int64_t old = this->period;
        if (now_period <= old ||
            !this->period.compare_exchange_strong(old, now_period))
            return;
        this->windows[static_cast<std::size_t>(now_period & 1)].reset();
        if (now_period - old > 1)
            this->windows[static_cast<std::size_t>(~now_period & 1)].reset();
    }

    std::array<window_histogram, 2> windows{make_window(), make_window()};
    std::atomic<std::int64_t> period{0};
};

latency_window::latency_window()
    : state(std::make_unique<implementation>())
{
}

latency_window::~latency_window() = default;

void latency_window::record(duration latency, time_point now)
{
    this->state->record(latency, now);
}

duration latency_window::quantile(double fraction, duration fallback) const
{
    return this->state->quantile(fraction, fallback);
}

}
