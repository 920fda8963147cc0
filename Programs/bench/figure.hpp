#ifndef WISTERIAHATCH_BENCH_FIGURE_HPP
#define WISTERIAHATCH_BENCH_FIGURE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahatch
{

// One measured value, a line of docs/capacity.csv.
struct figure
{
    std::string role;
    std::string measure;
    // Members, bytes or shards, as the measure says.
    std::size_t size = 0;
    double value = 0;
    std::string unit;
};

// What a measurement is asked for.
struct bench_options
{
    std::size_t size = 0;
    // Repetitions of measures whose cost is counted from outside.
    std::size_t iterations = 1;
    std::uint64_t seed = 1;
};

using figures = std::vector<figure>;

// Bytes that the process has allocated and not freed.
std::size_t allocated_bytes();

}

#endif
