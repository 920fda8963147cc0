#include "arrival_schedule.hpp"

#include <algorithm>

namespace wisteriahatch
{

namespace
{

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

}

arrival_schedule::arrival_schedule(const std::vector<double>& rates,
                                   arrival_process process, std::uint64_t seed)
    : process(process)
    , random(seed)
{
    for (const double rate : rates)
    {
        // A random phase prevents classes with equal rates from sending at the
        // same times.
        std::uniform_real_distribution<double> phase(0, 1 / rate);
        const duration first = process == arrival_process::uniform
                                   ? from_seconds(phase(this->random))
                                   : this->next_interval(rate);
        this->streams.push_back({.rate = rate, .next = first});
    }
}

arrival arrival_schedule::next()
{
    const auto earliest =
        std::min_element(this->streams.begin(), this->streams.end(),
                         [](const stream& left, const stream& right)
                         { return left.next < right.next; });
    const arrival next{.offset = earliest->next,
                       .caller_class = static_cast<std::size_t>(
                           earliest - this->streams.begin())};
    earliest->next += this->next_interval(earliest->rate);
    return next;
}

duration arrival_schedule::next_interval(double rate)
{
    if (this->process == arrival_process::uniform)
        return from_seconds(1 / rate);
    return from_seconds(
        std::exponential_distribution<double>(rate)(this->random));
}

}
