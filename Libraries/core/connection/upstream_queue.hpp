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

// Names a submitted call. The caller of upstream_queue chooses unique values.
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

// The calls to one upstream: those running, those waiting for a connection,
// and an adaptive limit on the running ones. Not thread-safe: the worker that
// owns the upstream calls it. No I/O and no clock.
class upstream_queue
{
public:
    struct options
    {
        // Connections that this instance may open to the upstream; the limit
        // never exceeds it. 0 is taken as 1.
        unsigned connection_share = 1;
        // The adaptive limit stays at or above this, but never above the
        // share. 0 is taken as 1.
        unsigned min_limit = 1;
    };

    // What the caller has to do after an event. Each submitted id is in
    // `start` or in `dropped` at most once, and never in both.
    struct actions
    {
        // Calls to hand to a connection now, in this order. Each must end
        // with finish() or cancel().
        std::vector<call_id> start;
        // Waiting calls whose deadline passed. They were never started and
        // are forgotten; no finish() follows.
        std::vector<call_id> dropped;
    };

    // Factor of the limit after a shed or a timeout.
    static constexpr double decrease_factor = 0.7;
    // Priorities are 0 (highest) to 3; higher values are taken as 3.
    static constexpr unsigned lowest_priority =
        waiting_list<call_id>::lowest_priority;

    explicit upstream_queue(options values);

    // Adds a call; priority is 0 (highest) to 3. It starts at once when the
    // limit allows, and is dropped at once when its deadline has passed.
    actions submit(call_id id, unsigned priority, time_point deadline,
                   time_point now);
    // Ends a started call; `latency` is the time since it was started. Unknown
    // ids, for example of cancelled calls, change nothing.
    actions finish(call_id id, call_outcome outcome, duration latency,
                   time_point now);
    // Forgets a waiting or started call, which frees its place. The limit does
    // not change. Unknown ids change nothing.
    actions cancel(call_id id, time_point now);
    // Drops the waiting calls whose deadline has passed.
    actions expire(time_point now);
    // Changes the share; the limit follows downwards at once. Running calls
    // above the new limit go on.
    actions set_connection_share(unsigned share, time_point now);

    // Earliest deadline of a waiting call: when to call expire() next.
    std::optional<time_point> next_deadline() const;
    // Calls that may run at once: min_limit to the connection share.
    unsigned limit() const;
    std::size_t running() const;
    std::size_t waiting() const;

private:
    void drop_late(actions& result, time_point now);
    void start_waiting(actions& result);

    unsigned share;
    unsigned min_limit;
    // Kept as a fraction, so that several successes add up to one place.
    double adaptive_limit;
    // Sheds and timeouts of calls started before this time belong to the
    // overload that lowered the limit, and do not lower it again.
    time_point last_decrease = time_point::min();
    waiting_list<call_id> queue;
    std::set<call_id> started;
};

}

#endif
