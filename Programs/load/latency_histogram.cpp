#include "latency_histogram.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace wisteriahatch
{

namespace
{

namespace histogram = boost::histogram;

constexpr double lowest_ms = 0.001;
constexpr double highest_ms = 100000;
// ln(highest / lowest) / 0.01
constexpr unsigned bins = 1842;

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
            log_axis(wisteriahatch::bins, lowest_ms, highest_ms));
    std::uint64_t count = 0;
    double longest_ms = 0;
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
    this->state->longest_ms = std::max(this->state->longest_ms, milliseconds);
    ++this->state->count;
}

std::uint64_t latency_histogram::count() const
{
    return this->state->count;
}

double latency_histogram::quantile_ms(double fraction) const
{
    const double wanted =
        std::ceil(fraction * static_cast<double>(this->state->count));
    double seen = 0;
    for (auto&& bin :
         histogram::indexed(this->state->bins, histogram::coverage::all))
    {
        seen += static_cast<double>(*bin);
        if (seen >= wanted && seen > 0)
            return std::min(bin.bin().upper(), this->state->longest_ms);
    }
    return 0;
}

}
