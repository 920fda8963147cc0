#include "core/connection/upstream_queue.hpp"

#include <algorithm>

namespace wisteriahatch
{

upstream_queue::upstream_queue(options opts)
    : share(std::max(1U, opts.connection_share))
    , min_limit(std::max(1U, opts.min_limit))
    , adaptive_limit(this->share)
{
}

upstream_queue::actions upstream_queue::submit(call_id id, unsigned priority,
                                               time_point deadline,
                                               time_point now)
{
    actions result;
    if (!this->started.contains(id))
        this->queue.insert(id, priority, deadline);
    this->drop_expired(result, now);
    this->start_waiting(result);
    return result;
}

upstream_queue::actions upstream_queue::finish(call_id id, call_outcome outcome,
                                               duration latency, time_point now)
{
    actions result;
    const bool was_full = this->started.size() >= this->limit();
    if (this->started.erase(id) == 0)
        return result;
    const bool is_overload =
        outcome == call_outcome::shed || outcome == call_outcome::timeout;
    if (is_overload && now - latency >= this->last_decrease)
    {
        this->adaptive_limit =
            std::max<double>(std::min(this->min_limit, this->share),
                             this->adaptive_limit * decrease_factor);
        this->last_decrease = now;
    }
    // Only a success at the limit indicates that the upstream can take more.
    if (outcome == call_outcome::success && was_full)
        this->adaptive_limit = std::min<double>(
            this->share, this->adaptive_limit + 1 / this->adaptive_limit);
    this->drop_expired(result, now);
    this->start_waiting(result);
    return result;
}

upstream_queue::actions upstream_queue::cancel(call_id id, time_point now)
{
    actions result;
    this->queue.erase(id);
    this->started.erase(id);
    this->drop_expired(result, now);
    this->start_waiting(result);
    return result;
}

upstream_queue::actions upstream_queue::expire(time_point now)
{
    actions result;
    this->drop_expired(result, now);
    return result;
}

upstream_queue::actions upstream_queue::set_connection_share(unsigned value,
                                                             time_point now)
{
    actions result;
    const bool was_unrestricted = this->adaptive_limit >= this->share;
    this->share = std::max(1U, value);
    // A limit equal to the share is not reduced by overload, so it follows a
    // larger share at once.
    this->adaptive_limit =
        was_unrestricted ? this->share
                         : std::min<double>(this->adaptive_limit, this->share);
    this->drop_expired(result, now);
    this->start_waiting(result);
    return result;
}

std::optional<time_point> upstream_queue::next_deadline() const
{
    return this->queue.next_deadline();
}

unsigned upstream_queue::limit() const
{
    return static_cast<unsigned>(this->adaptive_limit);
}

std::size_t upstream_queue::running() const
{
    return this->started.size();
}

std::size_t upstream_queue::waiting() const
{
    return this->queue.size();
}

void upstream_queue::drop_expired(actions& result, time_point now)
{
    const auto expired = this->queue.take_until(now);
    result.dropped.insert(result.dropped.end(), expired.begin(), expired.end());
}

void upstream_queue::start_waiting(actions& result)
{
    for (unsigned priority = 0; priority <= this->queue.lowest_priority;
         ++priority)
    {
        while (!this->queue.is_empty(priority) &&
               this->started.size() < this->limit())
        {
            const call_id id = this->queue.take_first(priority);
            this->started.insert(id);
            result.start.push_back(id);
        }
    }
}

}
