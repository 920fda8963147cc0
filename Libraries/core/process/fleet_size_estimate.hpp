#ifndef WISTERIAHATCH_CORE_PROCESS_FLEET_SIZE_ESTIMATE_HPP
#define WISTERIAHATCH_CORE_PROCESS_FLEET_SIZE_ESTIMATE_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriahatch
{

// Whether an instance has had time to see the other instances of its fleet.
enum class fleet_view : std::uint8_t
{
    settling,
    settled,
};

// How many instances share the limits of the fleet, as far as one of them
// knows. While the view is settling the number says nothing about the size of
// the fleet, and an instance takes the smallest share of every limit.
struct fleet_size
{
    // Instances seen, this one included.
    std::size_t instances = 1;
    fleet_view view = fleet_view::settling;

    bool operator==(const fleet_size&) const = default;
};

// Estimates the number of instances that share a limit: upstream connections
// and repeats. Each instance computes its own share, so the estimate must not
// be too low while other instances are unreachable.
class fleet_size_estimate
{
public:
    // Shortest time until the view is settled. Upstreams still hold the
    // connections of processes that lost power.
    static constexpr std::chrono::seconds min_settling_time{3};
    // The view stays unsettled while new instances appear within this time. It
    // is longer than a gossip round of a large fleet, after which an instance
    // may learn of many others at once.
    static constexpr std::chrono::milliseconds stable_time{2500};
    // The view is settled after this time even if instances keep joining.
    static constexpr std::chrono::seconds max_settling_time{10};
    // Lower bound of the number of instances: a process that starts behind a
    // partition sees only itself.
    static constexpr std::size_t min_instances = 5;

    explicit fleet_size_estimate(time_point started);

    // Updates the estimate with the number of instances seen now, including
    // this one. Returns true if an instance's shares have to be computed again:
    // the view has become settled, or the number has changed since.
    bool update(std::size_t seen, time_point now);
    // Returns the estimate: the largest number of instances ever seen, because
    // instances that become unreachable keep running. A settled view stays
    // settled.
    const fleet_size& size() const;

private:
    bool is_settled_at(time_point now) const;

    time_point started;
    time_point last_growth;
    fleet_size current{.instances = min_instances};
};

}

#endif
