#ifndef WISTERIAHATCH_LOAD_ARRIVAL_SCHEDULE_HPP
#define WISTERIAHATCH_LOAD_ARRIVAL_SCHEDULE_HPP

#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace wisteriahatch
{

// How the times between requests of a class are distributed.
enum class arrival_process : std::uint8_t
{
    poisson,
    uniform,
};

// One request that is due.
struct arrival
{
    // Time from the start of the measurement.
    duration at{0};
    std::size_t caller_class = 0;
};

// The times at which an open-loop load sends requests, whatever the answers.
// The same seed gives the same times.
class arrival_schedule
{
public:
    // `rates` holds the requests a second of each class.
    arrival_schedule(const std::vector<double>& rates, arrival_process process,
                     std::uint64_t seed);

    // Returns the requests of all classes in the order of their times.
    arrival next();

private:
    // The next request of one class.
    struct stream
    {
        double rate = 0;
        duration next{0};
    };

    duration gap(double rate);

    arrival_process process;
    std::mt19937_64 random;
    std::vector<stream> streams;
};

}

#endif
