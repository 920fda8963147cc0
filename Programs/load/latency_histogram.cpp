#include "latency_histogram.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace wisteriahatch
{

namespace
{

namespace histogram = boost::histogram;

constexpr double axis_min_ms = 0.001;
constexpr double axis_max_ms = 100000;
// Bins 1% wide: ln(axis_max_ms / axis_min_ms) / 0.01.
constexpr unsigned bin_count = 1842;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

}

class latency_histogram::implementation
{
public:
    decltype(histogram::make_histogram_with(
        histogram::dense_storage<std::uint64_t>(), log_axis())) bins =
        histogram::make_histogram_with(
            histogram::dense_storage<std::uint64_t>(),
            log_axis(bin_count, axis_min_ms, axis_max_ms));
    std::uint64_t count = 0;
    double max_latency_ms = 0;
};

latency_histogram::latency_histogram()
    : state(std::make_unique<implementation>())
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;

void latency_histogram::record(duration latency)
{
    const double milliseconds =
        std::chrono::duration<double, std::milli>(latency).count();
    this->state->bins(milliseconds);
    this->state->max_latency_ms =
        std::max(this->state->max_latency_ms, milliseconds);
    ++this->state->count;
}

std::uint64_t latency_histogram::count() const
{
    return this->state->count;
}

double latency_histogram::quantile_ms(double fraction) const
{
    const double rank =
        std::ceil(fraction * static_cast<double>(this->state->count));
    double cumulative = 0;
    for (auto&& bin :
         histogram::indexed(this->state->bins, histogram::coverage::all))
    {
        cumulative += static_cast<double>(*bin);
        if (cumulative >= rank && cumulative > 0)
            return std::min(bin.bin().upper(), this->state->max_latency_ms);
    }
    return 0;
}

}
