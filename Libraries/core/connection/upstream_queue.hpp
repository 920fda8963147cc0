#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_QUEUE_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_QUEUE_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/base/waiting_list.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace wisteriahatch
{

// Identifies a submitted call. The caller of upstream_queue chooses unique
// values.
using call_id = strong_id<struct call_id_tag>;

// How a started call ended, as far as it concerns the upstream's load.
enum class call_outcome : std::uint8_t
{
    success,
    // The upstream refused the call because it is overloaded.
    shed,
    // No reply within the attempt timeout or the deadline.
    timeout,
    // Any other failure, for example a refused connection.
    failure,
};

// Queues the calls to one upstream and limits how many of them run at once. The
// limit adapts to overload of the upstream. Does no I/O and reads no clock. Not
// thread-safe: only the worker that owns the upstream calls it.
class upstream_queue
{
public:
    struct options
    {
        // Maximum number of connections of this instance to the upstream,
        // which the limit never exceeds. 0 is treated as 1.
        unsigned connection_share = 1;
        // Lower bound of the adaptive limit; a smaller share takes precedence.
        // 0 is treated as 1.
        unsigned min_limit = 1;
    };

    // What the caller has to do after an event. Each submitted id is in
    // `start` or in `dropped` at most once, and never in both.
    struct actions
    {
        // Calls to start now, in this order. For each, finish() or cancel()
        // must be called.
        std::vector<call_id> start;
        // Waiting calls that were removed because their deadline has passed.
        // They were never started, and finish() must not be called for them.
        std::vector<call_id> dropped;
    };

    // The limit is multiplied by this after a shed or a timeout.
    static constexpr double decrease_factor = 0.7;
    // Priorities are 0 (highest) to 3; higher values are treated as 3.
    static constexpr unsigned lowest_priority =
        waiting_list<call_id>::lowest_priority;

    explicit upstream_queue(options opts);

    // Adds a call. It starts at once if the limit allows it, and is dropped at
    // once if its deadline has passed.
    actions submit(call_id id, unsigned priority, time_point deadline,
                   time_point now);
    // Ends a started call. `latency` is the time since it was started. Unknown
    // ids, for example those of cancelled calls, are ignored.
    actions finish(call_id id, call_outcome outcome, duration latency,
                   time_point now);
    // Removes a waiting or started call without changing the limit. Unknown ids
    // are ignored.
    actions cancel(call_id id, time_point now);
    // Drops the waiting calls whose deadline has passed.
    actions expire(time_point now);
    // Changes the share. A larger limit is reduced to it at once, but running
    // calls above the new limit continue.
    actions set_connection_share(unsigned share, time_point now);

    // Earliest deadline of a waiting call, which is when to call expire().
    std::optional<time_point> next_deadline() const;
    // Current limit of running calls, from min_limit to the connection share.
    unsigned limit() const;
    std::size_t running() const;
    std::size_t waiting() const;

private:
    void drop_expired(actions& result, time_point now);
    void start_waiting(actions& result);

    unsigned share;
    unsigned min_limit;
    // Not an integer, because a success raises the limit by only 1 / limit.
    double adaptive_limit;
    // Sheds and timeouts of calls started before this time are attributed to
    // the overload that lowered the limit, and don't lower it again.
    time_point last_decrease = time_point::min();
    waiting_list<call_id> queue;
    std::set<call_id> started;
};

}

#endif
