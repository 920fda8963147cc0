#ifndef WISTERIAHATCH_CORE_PROCESS_FLEET_SIZE_ESTIMATE_HPP
#define WISTERIAHATCH_CORE_PROCESS_FLEET_SIZE_ESTIMATE_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <cstddef>

namespace wisteriahatch
{

// Estimates the number of instances that share a limit: upstream connections
// and retries. Each instance computes its own share, so the estimate must not
// be too low while other instances are unreachable.
class fleet_size_estimate
{
public:
    // Estimate until this instance has had time to see all others. It is high
    // because upstreams still hold the connections of processes that lost
    // power.
    static constexpr std::size_t initial_instances = 80;
    static constexpr std::chrono::seconds settling_time{3};
    // Lower bound of the estimate: a process that starts behind a partition
    // sees only itself.
    static constexpr std::size_t min_instances = 5;

    explicit fleet_size_estimate(time_point started);

    // Updates the estimate with the number of instances seen now, including
    // this one. Returns true if instances() has changed.
    bool update(std::size_t seen, time_point now);
    // Returns the estimate: after the settling time, the largest number ever
    // seen, because instances that become unreachable keep running.
    std::size_t instances() const;

private:
    time_point started;
    std::size_t max_seen = min_instances;
    std::size_t current = initial_instances;
};

}

#endif
