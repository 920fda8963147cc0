#ifndef WISTERIAHATCH_CORE_PROCESS_ADMISSION_CONTROLLER_HPP
#define WISTERIAHATCH_CORE_PROCESS_ADMISSION_CONTROLLER_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/base/waiting_list.hpp"
#include "core/process/latency_window.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace wisteriahatch
{

// Names a submitted query. The caller of admission chooses unique values.
using query_id = strong_id<struct query_id_tag>;

// How an admitted query ended, as far as it concerns the service's load.
enum class admission_outcome : std::uint8_t
{
    // Answered in time.
    served,
    // An upstream shed a part of it, or its deadline passed.
    overloaded,
    // Any other end; says nothing about the load.
    other,
};

// Limits the queries of one service that are in flight. The limit grows while
// it is used up and queries are served, and shrinks when upstreams shed or
// latency rises over twice its calm value. Not thread-safe: each worker has its
// own for each service. No I/O and no clock.
class admission_controller
{
public:
    struct options
    {
        unsigned min_limit = 2;
        unsigned initial_limit = 4;
        unsigned max_limit = 1024;
    };

    // What the caller has to do after an event. Each submitted id is in one of
    // the two lists exactly once, unless it is cancelled while it waits.
    struct actions
    {
        // Queries to run now. Each must end with finish() or cancel().
        std::vector<query_id> start;
        // Queries to answer with `overloaded`. They were not run and are
        // forgotten.
        std::vector<query_id> refused;
    };

    // Part of the starts that each priority below the highest gets while it
    // has queries waiting, so that none starves: one in ten.
    static constexpr unsigned lower_priority_interval = 10;
    // Factor of the limit after an overload.
    static constexpr double decrease_factor = 0.9;
    // Latency over its calm value that counts as overload.
    static constexpr double latency_tolerance = 2;
    // Share of a new sample in the smoothed latency. Calm is the lowest
    // smoothed value, so that it has to vary little: with a share of 0.1 and
    // exponential latencies the lowest value is less than half of the mean.
    static constexpr double sample_weight = 0.01;
    // Samples before latency is judged.
    static constexpr unsigned warm_up_samples = 100;
    // Time after which the calm value has moved halfway to a latency that
    // stays higher. Longer throttles a service that became slower for good;
    // shorter gives way in an overload that lasts, until deadlines pass.
    static constexpr std::chrono::minutes baseline_half_life{2};

    explicit admission_controller(const options& values);

    // Adds a query; priority is 0 (highest) to 3. It starts at once when a
    // place is free. Otherwise it waits, or is refused when it can't be
    // expected to finish by its deadline.
    actions submit(query_id id, unsigned priority, time_point deadline,
                   time_point now);
    // Ends a started query; `latency` is the time since it was started.
    // Unknown ids change nothing.
    actions finish(query_id id, admission_outcome outcome, duration latency,
                   time_point now);
    // Forgets a waiting or started query whose caller has gone.
    actions cancel(query_id id, time_point now);
    // Refuses the waiting queries that have less time left than the observed
    // median latency, or than half of what they came with.
    actions expire(time_point now);

    // When to call expire() next.
    std::optional<time_point> next_expiry() const;
    unsigned limit() const;
    std::size_t running() const;
    std::size_t waiting() const;

private:
    // 0 until enough queries were served.
    duration median_latency() const;
    // When a query submitted now must have started. Without the bound of half
    // its time, an overload in which no query is served leaves no median, every
    // query starts at its deadline, and none is served again.
    time_point latest_start(time_point deadline, time_point now) const;
    bool can_finish(unsigned priority, time_point deadline,
                    time_point now) const;
    void adapt(admission_outcome outcome, duration latency, bool was_full,
               time_point now);
    // Follows the smoothed and the calm latency; returns whether the smoothed
    // one exceeds the tolerance.
    bool is_slow_after(duration latency, time_point now);
    // Returns the priority whose turn it is; some query must wait.
    unsigned next_priority();
    void refuse_late(actions& result, time_point now);
    void start_waiting(actions& result);

    options bounds;
    double adaptive_limit;
    // Overloads of queries started before this time belong to the overload
    // that lowered the limit, and do not lower it again.
    time_point last_decrease = time_point::min();
    latency_window latencies;
    unsigned samples = 0;
    // In seconds.
    double smoothed_latency = 0;
    double calm_latency = 0;
    time_point last_sample;
    waiting_list<query_id> queue;
    std::set<query_id> started;
    // Starts of other priorities since each priority waits.
    std::array<unsigned, waiting_list<query_id>::lowest_priority + 1> passed{};
};

}

#endif
