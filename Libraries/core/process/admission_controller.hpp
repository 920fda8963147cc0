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

// Identifies a submitted query; the caller chooses unique values.
using query_id = strong_id<struct query_id_tag>;

// How an admitted query ended, as a signal of the service's load.
enum class admission_outcome : std::uint8_t
{
    // Answered in time.
    served,
    // An upstream shed part of the query, or its deadline passed.
    overloaded,
    // Ended in another way, which is no signal of the load.
    other,
};

// Adaptive limit on the concurrent queries of one service. It grows while it is
// reached and queries are served, and shrinks when queries are shed or time
// out, or when latency exceeds twice its baseline. Not thread-safe: each worker
// has its own controller per service. Does no I/O and reads no clock.
class admission_controller
{
public:
    struct options
    {
        unsigned min_limit = 2;
        unsigned initial_limit = 4;
        unsigned max_limit = 1024;
    };

    // What the caller has to do after an event. Each submitted id appears
    // exactly once in one of the two lists, unless it is cancelled while it
    // waits.
    struct actions
    {
        // Queries to start now. Each must end with finish() or cancel().
        std::vector<query_id> start;
        // Queries to answer with `overloaded`. They were not started and are
        // no longer tracked.
        std::vector<query_id> refused;
    };

    // While it has queries waiting, each priority below the highest gets one
    // start in this many, so that none starves.
    static constexpr unsigned lower_priority_interval = 10;
    // The limit is multiplied by this on overload.
    static constexpr double decrease_factor = 0.9;
    // Ratio of latency to its baseline above which it counts as overload.
    static constexpr double latency_tolerance = 2;
    // Weight of a new sample in the smoothed latency. The baseline is the
    // lowest smoothed value, so the smoothed latency must vary little: with a
    // weight of 0.1 and exponential latencies the lowest value is less than
    // half of the mean.
    static constexpr double sample_weight = 0.01;
    // Samples needed before latency is compared with its baseline.
    static constexpr unsigned warm_up_samples = 100;
    // Time in which the baseline moves halfway to a latency that stays higher.
    // A longer one throttles a service that has become permanently slower; a
    // shorter one accepts the latency of a long overload until deadlines pass.
    static constexpr std::chrono::minutes baseline_half_life{2};

    explicit admission_controller(const options& opts);

    // Adds a query; priority is 0 (highest) to 3. It starts at once when a
    // slot is free. Otherwise it waits, or is refused when it can't be expected
    // to finish by its deadline.
    actions submit(query_id id, unsigned priority, time_point deadline,
                   time_point now);
    // Ends a started query; `latency` is the time since it was started.
    // Unknown ids are ignored.
    actions finish(query_id id, admission_outcome outcome, duration latency,
                   time_point now);
    // Removes a waiting or started query that its caller has abandoned.
    actions cancel(query_id id, time_point now);
    // Refuses the waiting queries that have less time left than the median
    // latency, or than half of the time they had when submitted.
    actions expire(time_point now);

    // When to call expire() next.
    std::optional<time_point> next_expiry() const;
    unsigned limit() const;
    std::size_t running() const;
    std::size_t waiting() const;

private:
    // Returns 0 until enough queries have been served.
    duration median_latency() const;
    // Latest time at which a query submitted now may start: at most half of its
    // time may pass before. Without this bound, an overload in which no query
    // is served leaves no median, so that every query starts at its deadline
    // and none is ever served again.
    time_point latest_start(time_point deadline, time_point now) const;
    bool can_finish(unsigned priority, time_point deadline,
                    time_point now) const;
    void adapt_limit(admission_outcome outcome, duration latency,
                     bool was_at_limit, time_point now);
    // Updates the smoothed and the baseline latency; returns whether the
    // smoothed one exceeds the tolerance.
    bool update_latency(duration latency, time_point now);
    // Returns the priority of the next query to start; a query must be waiting.
    unsigned next_priority();
    void refuse_late(actions& result, time_point now);
    void start_waiting(actions& result);

    options bounds;
    double adaptive_limit;
    // Overloaded queries that started before this time belong to the overload
    // that lowered the limit, and do not lower it again.
    time_point last_decrease = time_point::min();
    latency_window latencies;
    unsigned samples = 0;
    // In seconds.
    double smoothed_latency = 0;
    double baseline_latency = 0;
    time_point last_sample;
    waiting_list<query_id> queue;
    std::set<query_id> started;
    // For each waiting priority, the starts of others since its own last one.
    std::array<unsigned, waiting_list<query_id>::lowest_priority + 1>
        skipped_starts{};
};

}

#endif
