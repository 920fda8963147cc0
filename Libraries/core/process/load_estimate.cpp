#include "core/process/load_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace wisteriahatch
{

namespace
{

using seconds = std::chrono::duration<double>;

// Weight of a new sample in the usual time of a request.
constexpr double work_weight = 0.1;
// Weight of the assumption that nothing waits. It equals one fresh report, so
// that one late answer of a service does not look like an overload.
constexpr double no_wait_weight = 1;
// Weight of the mean rejected share of all services, in outcomes, in the share
// of one of them.
constexpr double group_weight = 4;
// Weight of the assumption that nothing is rejected, in outcomes of all
// services together.
constexpr double no_rejection_weight = 4;

double decay(duration age, duration half_life)
{
    return std::exp2(-std::max(0.0, seconds(age) / seconds(half_life)));
}

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(seconds(value));
}

}

void load_estimate::record_send(std::string_view service_name,
                                std::string_view upstream_name, time_point now)
{
    auto& record = this->upstream(this->service(service_name), upstream_name);
    ++record.unreported_sends;
    record.last_event = now;
}

void load_estimate::record_end(const ended_send& ended, time_point now)
{
    auto& service = this->service(ended.service);
    this->age_outcomes(service, now);
    service.outcomes += 1;
    service.rejections += ended.end == send_end::rejected ? 1 : 0;
    this->learn_work(service, ended);
    auto& record = this->upstream(service, ended.upstream);
    record.last_event = now;
    if (record.unreported_sends > 0)
        --record.unreported_sends;
    if (ended.load && ended.load->slots > 0)
    {
        record.load = *ended.load;
        record.unreported_sends = 0;
        record.lateness = duration::zero();
    }
    else if (ended.end != send_end::rejected)
        record.lateness =
            std::max(duration::zero(), ended.elapsed - service.work);
    else
        return;
    record.last_report = now;
}

load_estimate::group_values
load_estimate::estimate(std::span<const std::string> services, time_point now)
{
    group_values result;
    weighted_sum waits;
    weighted_sum rejections{.weight = no_rejection_weight};
    for (const auto& name : services)
    {
        auto& record = this->service(name);
        this->age_outcomes(record, now);
        const auto own = this->sum_waits(record, now);
        waits.weight += own.weight;
        waits.value += own.value;
        rejections.weight += record.outcomes;
        rejections.value += record.rejections;
        result.services.push_back(
            {.wait = to_duration(own.value / (own.weight + no_wait_weight)),
             .work = record.work});
    }
    result.wait = to_duration(waits.value / (waits.weight + no_wait_weight));
    const double mean_rejected = rejections.value / rejections.weight;
    for (std::size_t index = 0; index < services.size(); ++index)
    {
        const auto& record = this->service(services[index]);
        result.services[index].rejected =
            (record.rejections + group_weight * mean_rejected) /
            (record.outcomes + group_weight);
    }
    return result;
}

load_estimate::service_record& load_estimate::service(std::string_view name)
{
    const auto found = this->records.find(name);
    return found != this->records.end()
               ? found->second
               : this->records.try_emplace(std::string(name)).first->second;
}

load_estimate::upstream_record& load_estimate::upstream(service_record& service,
                                                        std::string_view name)
{
    const auto found = service.upstreams.find(name);
    return found != service.upstreams.end()
               ? found->second
               : service.upstreams.try_emplace(std::string(name)).first->second;
}

void load_estimate::age_outcomes(service_record& service, time_point now)
{
    const double weight = decay(now - service.last_outcome, outcome_half_life);
    service.outcomes *= weight;
    service.rejections *= weight;
    service.last_outcome = now;
}

void load_estimate::learn_work(service_record& service, const ended_send& ended)
{
    if (ended.end != send_end::answered)
        return;
    // An answer that may have waited only bounds the time.
    const bool is_usual = ended.load && ended.load->waiting == 0;
    if (service.work == duration::zero())
        service.work = ended.elapsed;
    else if (is_usual || ended.elapsed < service.work)
        service.work += std::chrono::duration_cast<duration>(
            work_weight * (ended.elapsed - service.work));
}

double load_estimate::expected_wait(const service_record& service,
                                    const upstream_record& upstream)
{
    const auto& load = upstream.load;
    if (load.slots == 0)
        return seconds(upstream.lateness).count();
    const unsigned present =
        load.running + load.waiting + upstream.unreported_sends;
    const unsigned queued = present > load.slots ? present - load.slots : 0;
    return std::max(seconds(upstream.lateness).count(),
                    queued * seconds(service.work).count() * load.time_ratio /
                        load.slots);
}

load_estimate::weighted_sum load_estimate::sum_waits(service_record& service,
                                                     time_point now)
{
    std::erase_if(service.upstreams, [now](const auto& entry)
                  { return now - entry.second.last_event > max_load_age; });
    weighted_sum sum;
    for (const auto& [name, record] : service.upstreams)
    {
        if (record.last_report == time_point{})
            continue;
        const auto age = now - record.last_report;
        const double weight = decay(age, load_half_life);
        sum.weight += weight;
        sum.value += weight * decay(age, wait_half_life) *
                     expected_wait(service, record);
    }
    return sum;
}

}
