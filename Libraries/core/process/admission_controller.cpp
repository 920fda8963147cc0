#include "core/process/admission_controller.hpp"

#include <algorithm>
#include <cmath>

namespace wisteriahatch
{

namespace
{

using seconds = std::chrono::duration<double>;

constexpr unsigned lowest_priority = waiting_list<query_id>::lowest_priority;

// Fraction of a query's slack, its time left minus the median latency, that its
// expected wait may take. With all of it more queries start too late: in the
// tests' simulation at 1.5 times capacity, goodput was 0.91 of capacity with 1
// and 0.95 with 0.5.
constexpr double max_wait_fraction = 0.5;

}

admission_controller::admission_controller(const options& opts)
    : bounds(opts)
{
    this->bounds.min_limit = std::max(1U, this->bounds.min_limit);
    this->bounds.max_limit =
        std::max(this->bounds.min_limit, this->bounds.max_limit);
    this->adaptive_limit =
        std::clamp(this->bounds.initial_limit, this->bounds.min_limit,
                   this->bounds.max_limit);
}

admission_controller::actions admission_controller::submit(query_id id,
                                                           unsigned priority,
                                                           time_point deadline,
                                                           time_point now)
{
    actions result;
    priority = std::min(priority, lowest_priority);
    this->refuse_late(result, now);
    this->start_waiting(result);
    // With a free slot the query starts regardless of the median; otherwise a
    // median measured in an overload could refuse every query, and no served
    // query would ever update it.
    const bool has_free_slot =
        this->queue.size() == 0 && this->started.size() < this->limit();
    if (deadline <= now ||
        (!has_free_slot && !this->can_finish(priority, deadline, now)))
    {
        result.refused.push_back(id);
        return result;
    }
    if (!this->started.contains(id))
        this->queue.insert(id, priority, this->latest_start(deadline, now));
    this->start_waiting(result);
    return result;
}

admission_controller::actions
admission_controller::finish(query_id id, admission_outcome outcome,
                             duration latency, time_point now)
{
    actions result;
    const bool was_at_limit = this->started.size() >= this->limit();
    if (this->started.erase(id) == 0)
        return result;
    this->adapt_limit(outcome, latency, was_at_limit, now);
    this->refuse_late(result, now);
    this->start_waiting(result);
    return result;
}

admission_controller::actions admission_controller::cancel(query_id id,
                                                           time_point now)
{
    actions result;
    this->queue.erase(id);
    this->started.erase(id);
    this->refuse_late(result, now);
    this->start_waiting(result);
    return result;
}

admission_controller::actions admission_controller::expire(time_point now)
{
    actions result;
    this->refuse_late(result, now);
    return result;
}

std::optional<time_point> admission_controller::next_expiry() const
{
    return this->queue.next_deadline();
}

unsigned admission_controller::limit() const
{
    return static_cast<unsigned>(this->adaptive_limit);
}

std::size_t admission_controller::running() const
{
    return this->started.size();
}

std::size_t admission_controller::waiting() const
{
    return this->queue.size();
}

duration admission_controller::median_latency() const
{
    return this->latencies.quantile(0.5, duration{0});
}

time_point admission_controller::latest_start(time_point deadline,
                                              time_point now) const
{
    const auto half = now + (deadline - now) / 2;
    return std::max(now, std::min(half, deadline - this->median_latency()));
}

bool admission_controller::can_finish(unsigned priority, time_point deadline,
                                      time_point now) const
{
    const seconds median = this->median_latency();
    const seconds slack = seconds(deadline - now) - median;
    if (slack <= seconds(0))
        return false;
    // At least the queries of the same and of higher priorities start first.
    std::size_t ahead = 0;
    for (unsigned higher = 0; higher <= priority; ++higher)
        ahead += this->queue.size(higher);
    const seconds wait =
        static_cast<double>(ahead) * median / this->adaptive_limit;
    return wait <= max_wait_fraction * slack;
}

void admission_controller::adapt_limit(admission_outcome outcome,
                                       duration latency, bool was_at_limit,
                                       time_point now)
{
    if (outcome == admission_outcome::other)
        return;
    bool is_overload = outcome == admission_outcome::overloaded;
    if (!is_overload)
    {
        this->latencies.record(latency, now);
        is_overload = this->update_latency(latency, now);
    }
    if (is_overload && now - latency >= this->last_decrease)
    {
        this->adaptive_limit = std::max<double>(
            this->bounds.min_limit, this->adaptive_limit * decrease_factor);
        this->last_decrease = now;
    }
    // A served query justifies a higher limit only when the limit was reached.
    if (!is_overload && was_at_limit)
        this->adaptive_limit =
            std::min<double>(this->bounds.max_limit,
                             this->adaptive_limit + 1 / this->adaptive_limit);
}

bool admission_controller::update_latency(duration latency, time_point now)
{
    const double sample = seconds(latency).count();
    const seconds since_last = now - this->last_sample;
    this->last_sample = now;
    this->samples = std::min(this->samples + 1, warm_up_samples);
    // The first samples are averaged with equal weights; their mean is the
    // first baseline.
    this->smoothed_latency += (sample - this->smoothed_latency) *
                              std::max(sample_weight, 1.0 / this->samples);
    if (this->samples < warm_up_samples)
    {
        this->baseline_latency = this->smoothed_latency;
        return false;
    }
    const double drift =
        1 - std::exp2(-since_last / seconds(baseline_half_life));
    this->baseline_latency =
        std::min(this->smoothed_latency,
                 this->baseline_latency +
                     drift * (this->smoothed_latency - this->baseline_latency));
    return this->smoothed_latency > latency_tolerance * this->baseline_latency;
}

unsigned admission_controller::next_priority()
{
    unsigned chosen = lowest_priority + 1;
    for (unsigned priority = 0; priority <= lowest_priority; ++priority)
    {
        if (this->queue.is_empty(priority))
            this->skipped_starts[priority] = 0;
        else if (chosen > lowest_priority ||
                 this->skipped_starts[priority] + 1 >= lower_priority_interval)
            chosen = priority;
    }
    for (unsigned priority = 0; priority <= lowest_priority; ++priority)
    {
        if (!this->queue.is_empty(priority))
            ++this->skipped_starts[priority];
    }
    this->skipped_starts[chosen] = 0;
    return chosen;
}

void admission_controller::refuse_late(actions& result, time_point now)
{
    if (this->queue.size() == 0)
        return;
    const auto late = this->queue.take_until(now);
    result.refused.insert(result.refused.end(), late.begin(), late.end());
}

void admission_controller::start_waiting(actions& result)
{
    while (this->queue.size() > 0 && this->started.size() < this->limit())
    {
        const query_id id = this->queue.take_first(this->next_priority());
        this->started.insert(id);
        result.start.push_back(id);
    }
}

}
