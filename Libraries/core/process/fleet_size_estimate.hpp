#ifndef WISTERIAHATCH_CORE_PROCESS_FLEET_SIZE_ESTIMATE_HPP
#define WISTERIAHATCH_CORE_PROCESS_FLEET_SIZE_ESTIMATE_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <cstddef>

namespace wisteriahatch
{

// By how many instances this one divides what all of them may use together:
// upstreams' connections and repeats. Each divides by itself, so that the
// number must not be too low while some instances can't be seen.
class fleet_size_estimate
{
public:
    // Reckoned with until this instance has had the time to see all others.
    // Upstreams also hold the connections of processes that lost power.
    static constexpr std::size_t initial_instances = 80;
    static constexpr std::chrono::seconds settling_time{3};
    // Fewest instances that are reckoned with afterwards: a process that starts
    // behind a partition sees itself only.
    static constexpr std::size_t min_instances = 5;

    explicit fleet_size_estimate(time_point started);

    // Tells how many instances are seen now, this one included. Returns whether
    // instances() has changed.
    bool update(std::size_t seen, time_point now);
    // The most that were ever seen: those that can't be seen go on.
    std::size_t instances() const;

private:
    time_point started;
    std::size_t most_seen = min_instances;
    std::size_t current = initial_instances;
};

}

#endif
