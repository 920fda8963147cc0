#ifndef WISTERIAHATCH_BENCH_MEASUREMENT_HPP
#define WISTERIAHATCH_BENCH_MEASUREMENT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahatch
{

// One measured value: a line of docs/capacity.csv.
struct measurement
{
    std::string role;
    std::string measure;
    // Members, bytes or shards, as the measure says.
    std::size_t size = 0;
    double value = 0;
    std::string unit;
};

// Parameters of a measurement.
struct bench_options
{
    std::size_t size = 0;
    // Repetitions, for measurements whose instructions Meta/capacity.sh counts
    // with valgrind.
    std::size_t iterations = 1;
    std::uint64_t seed = 1;
};

using measurements = std::vector<measurement>;

// Returns the bytes that the process has allocated and not freed.
std::size_t allocated_bytes();

}

#endif
