#ifndef WISTERIAHATCH_LOAD_ARRIVAL_SCHEDULE_HPP
#define WISTERIAHATCH_LOAD_ARRIVAL_SCHEDULE_HPP

#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace wisteriahatch
{

// Distribution of the times between the requests of a class.
enum class arrival_process : std::uint8_t
{
    poisson,
    uniform,
};

// One scheduled request.
struct arrival
{
    // Time from the start of the measurement.
    duration offset{0};
    std::size_t caller_class = 0;
};

// Send times of an open-loop load, which do not depend on replies. The same
// seed gives the same times.
class arrival_schedule
{
public:
    // `rates` has the requests per second of each class.
    arrival_schedule(const std::vector<double>& rates, arrival_process process,
                     std::uint64_t seed);

    // Returns the next request of any class, in order of time.
    arrival next();

private:
    // Rate of one class and the time of its next request.
    struct stream
    {
        double rate = 0;
        duration next{0};
    };

    duration next_interval(double rate);

    arrival_process process;
    std::mt19937_64 random;
    std::vector<stream> streams;
};

}

#endif
