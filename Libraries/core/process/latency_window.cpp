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

// With fewer latencies than this, quantile() returns its fallback.
constexpr std::uint64_t min_latencies = 50;

// 280 bins over six decades are 5% wide each.
constexpr double lowest_latency_seconds = 100e-6;
constexpr double highest_latency_seconds = 100;
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
    return window_histogram(std::tuple(
        log_axis(bins, lowest_latency_seconds, highest_latency_seconds)));
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
        // A latency of an earlier period counts toward the current one.
        const auto slot = static_cast<std::size_t>(this->period & 1);
        this->windows[slot](std::chrono::duration<double>(latency).count());
    }

    duration quantile(double fraction, duration fallback) const
    {
        std::array<std::uint64_t, bins + 2> counts{};
        std::uint64_t total = 0;
        for (std::size_t slot = 0; slot < counts.size(); ++slot)
        {
            // Bin -1 is the underflow bin.
            const int bin = static_cast<int>(slot) - 1;
            auto& count = counts[slot];
            for (const auto& window : this->windows)
                count += static_cast<std::uint64_t>(window.at(bin).value());
            total += count;
        }
        if (total < min_latencies)
            return fallback;

        const double rank = fraction * static_cast<double>(total);
        std::uint64_t cumulative = 0;
        std::size_t bin = 0;
        while (bin + 1 < counts.size() - 1)
        {
            cumulative += counts[bin];
            if (static_cast<double>(cumulative) >= rank && cumulative > 0)
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
    // Switches to the window of `new_period` and clears the windows whose
    // period is over. Counts that other threads record during the switch may be
    // lost: a few latencies every five seconds.
    void rotate(std::int64_t new_period)
    {
        std::int64_t old_period = this->period;
        if (new_period <= old_period ||
            !this->period.compare_exchange_strong(old_period, new_period))
            return;
        this->windows[static_cast<std::size_t>(new_period & 1)].reset();
        if (new_period - old_period > 1)
            this->windows[static_cast<std::size_t>(~new_period & 1)].reset();
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
