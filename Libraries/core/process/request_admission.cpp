#include "core/process/request_admission.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace wisteriahatch
{

namespace
{

using seconds = std::chrono::duration<double>;

// Classes that make room within a second while the wait is twice the allowed
// one. A burst lasts three seconds or more, and its queues must not outlast it.
constexpr double integral_gain = 1;
// Classes that make room when the wait grows by the allowed one.
constexpr double difference_gain = 1;
// The most urgent class makes room this much more slowly than the others: what
// they leave shows in the wait only after their queued requests.
constexpr double most_urgent_gain = 0.25;
// A shortage begins when the wait exceeds the allowed one by this many times,
// or in two updates in a row: requests that arrive together cause short queues.
constexpr double sudden_excess = 1.5;
// An overload changes the shortage by at most this many times the gain, so that
// one late report does not stop every request.
constexpr double max_excess = 3;
// Time that one update accounts for at most. Older evidence has lost half of
// its weight.
constexpr std::chrono::seconds max_update_interval{1};
// Weight of a request in the smoothed part that was started.
constexpr double started_weight = 0.05;
// A caller's repeat makes room as if the shortage were greater by this.
constexpr double caller_repeat_shortage = 0.5;
// Part of the target latency that counts as slack where the usual work of a
// request exceeds the target.
constexpr double min_slack_ratio = 0.25;
// Shortest time that refused callers are told to wait, which is the shortest in
// which a shortage changes noticeably.
constexpr std::chrono::milliseconds min_retry_after{200};
// The retry times of refused callers are spread over this part of the shortest.
constexpr double retry_spread = 1;
// Rejected share that the budgets bear for all classes: about half of the
// repeats that they earn for each leg.
constexpr double max_borne_rejections = 0.1;
// Repeats left in a budget that has not been used yet.
constexpr unsigned assumed_repeats = 2;

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(seconds(value));
}

// Returns the value that the given fraction of the values does not exceed.
duration quantile(std::vector<duration> values, double fraction)
{
    if (values.empty())
        return duration::zero();
    std::ranges::sort(values);
    const auto count = static_cast<double>(values.size());
    const auto needed = static_cast<std::size_t>(std::ceil(fraction * count));
    return values[std::clamp<std::size_t>(needed, 1, values.size()) - 1];
}

double mean_rejected(const load_estimate::group_values& load)
{
    double sum = 0;
    for (const auto& service : load.services)
        sum += service.rejected;
    return sum / static_cast<double>(load.services.size());
}

// Returns the time in which enough legs are expected to be answered.
duration expected_latency(const request_admission::request& each,
                          const load_estimate::group_values& load)
{
    std::vector<duration> latencies;
    for (const auto& service : load.services)
        latencies.push_back(service.wait + service.work);
    return quantile(std::move(latencies), each.min_coverage);
}

// Returns the probability that a normally distributed value exceeds the limit.
double exceeds(double mean, double variance, double limit)
{
    constexpr double min_variance = 1e-6;
    const double deviation = std::sqrt(std::max(variance, min_variance));
    return std::erfc((limit - mean) / (deviation * std::numbers::sqrt2)) / 2;
}

}

std::string_view to_string(admission_reason reason)
{
    switch (reason)
    {
    case admission_reason::none:
        return "none";
    case admission_reason::crowded:
        return "crowded";
    case admission_reason::late:
        return "late";
    case admission_reason::rejecting:
        return "rejecting";
    }
    return "";
}

request_admission::request_admission(const retry_budgets* repeat_budgets)
    : budgets(repeat_budgets)
{
}

load_estimate& request_admission::load()
{
    return this->signals;
}

request_admission::decision request_admission::decide(const request& each,
                                                      time_point now)
{
    if (each.services.empty())
        return {};
    auto& group = this->groups[each.services.front()];
    this->record_class(group, each, now);
    const auto values = this->signals.estimate(each.services, now);
    std::vector<duration> works;
    for (const auto& service : values.services)
        works.push_back(service.work);
    const auto work = quantile(std::move(works), each.min_coverage);
    this->update_shortage(group, values.wait, this->allowed_wait(group, work),
                          now);
    const auto result = this->choose(group, each, values, now);
    if (result.verdict == admission_verdict::wait)
        return result;
    auto& started = group.classes.at(each.priority).started;
    const bool is_started = result.verdict == admission_verdict::start;
    started += started_weight * ((is_started ? 1 : 0) - started);
    return result;
}

double request_admission::room(std::string_view service) const
{
    const auto found = this->groups.find(service);
    if (found == this->groups.end() || found->second.classes.empty())
        return 1;
    return 1 - found->second.shortage /
                   static_cast<double>(found->second.classes.size());
}

void request_admission::record_class(group_record& group, const request& each,
                                     time_point now)
{
    auto& record = group.classes[each.priority];
    record.last_seen = now;
    if (each.target_latency <= record.target_latency ||
        now - record.target_seen > class_memory)
    {
        record.target_latency = each.target_latency;
        record.target_seen = now;
    }
    std::erase_if(group.classes, [now](const auto& entry)
                  { return now - entry.second.last_seen > class_memory; });
}

void request_admission::update_shortage(group_record& group, duration wait,
                                        duration allowed, time_point now)
{
    const double elapsed =
        std::min(seconds(now - group.last_update), seconds(max_update_interval))
            .count();
    const double excess = seconds(wait - allowed) / seconds(allowed);
    const double growth = seconds(wait - group.last_wait) / seconds(allowed);
    double change =
        integral_gain * elapsed * std::clamp(excess, -1.0, max_excess);
    // A wait that grows but is allowed is no shortage.
    if (excess > 0 || growth < 0)
        change += difference_gain * std::clamp(growth, -1.0, 1.0);
    const bool is_confirmed = group.had_excess || excess > sudden_excess;
    if (group.shortage <= 0 && !is_confirmed)
        change = std::min(change, 0.0);
    group.had_excess = excess > 0;
    const auto classes = static_cast<double>(group.classes.size());
    if (change > 0)
    {
        const double others =
            std::clamp(classes - 1 - group.shortage, 0.0, change);
        const double gain = classes > 1 ? most_urgent_gain : 1;
        change = others + gain * (change - others);
    }
    group.shortage = std::clamp(group.shortage + change, 0.0, classes);
    group.last_wait = wait;
    group.last_update = now;
}

double request_admission::share(const group_record& group, const request& each)
{
    if (group.shortage <= 0)
        return 1;
    const auto less_urgent = less_urgent_classes(group, each);
    const double shortage =
        group.shortage + (each.is_caller_repeat ? caller_repeat_shortage : 0);
    const double left_out =
        std::clamp(shortage - static_cast<double>(less_urgent), 0.0, 1.0);
    return std::max(1 - left_out, min_share * mean_started(group));
}

std::ptrdiff_t request_admission::less_urgent_classes(const group_record& group,
                                                      const request& each)
{
    return std::ranges::count_if(group.classes, [&each](const auto& entry)
                                 { return entry.first > each.priority; });
}

double request_admission::mean_started(const group_record& group)
{
    double sum = 0;
    for (const auto& [priority, record] : group.classes)
        sum += record.started;
    return sum / static_cast<double>(group.classes.size());
}

duration request_admission::allowed_wait(const group_record& group,
                                         duration work)
{
    auto slack = duration::max();
    for (const auto& [priority, record] : group.classes)
    {
        const auto least = to_duration(min_slack_ratio *
                                       seconds(record.target_latency).count());
        slack = std::min(slack, std::max(least, record.target_latency - work));
    }
    return std::max<duration>(std::chrono::milliseconds(1),
                              to_duration(wait_ratio * seconds(slack).count()));
}

bool request_admission::has_more_urgent(const group_record& group,
                                        const request& each)
{
    return group.classes.begin()->first < each.priority;
}

unsigned request_admission::repeats_left(std::string_view service, double kept,
                                         time_point now) const
{
    if (this->budgets == nullptr)
        return assumed_repeats;
    const auto& known = this->budgets->by_service();
    const auto found = known.find(service);
    if (found == known.end())
        return assumed_repeats;
    return static_cast<unsigned>(std::max(0.0, found->second.left(now) - kept));
}

double
request_admission::success_probability(const request& each,
                                       const load_estimate::group_values& load,
                                       double kept, time_point now) const
{
    double mean = 0;
    double variance = 0;
    for (std::size_t index = 0; index < each.services.size(); ++index)
    {
        const double rejected = load.services[index].rejected;
        const unsigned sends =
            std::min(each.max_sends,
                     1 + this->repeats_left(each.services[index], kept, now));
        const double answered = 1 - std::pow(rejected, sends);
        mean += answered;
        variance += answered * (1 - answered);
    }
    const auto legs = static_cast<double>(each.services.size());
    const double needed = std::ceil(each.min_coverage * legs);
    constexpr double continuity = 0.5;
    return exceeds(mean, variance, needed - continuity);
}

request_admission::decision
request_admission::choose(const group_record& group, const request& each,
                          const load_estimate::group_values& load,
                          time_point now) const
{
    const bool is_short = group.shortage > 0;
    const bool yields = has_more_urgent(group, each);
    const double kept = yields ? kept_repeats(group, load) : 0;
    if (is_short && now + expected_latency(each, load) > each.deadline)
        return refuse(each, admission_reason::late, load.wait);
    const double success = this->success_probability(each, load, kept, now);
    const bool is_kept_going = each.draw < min_share * mean_started(group);
    if (success < (yields ? min_success : min_urgent_success) && !is_kept_going)
        return refuse(each, admission_reason::rejecting,
                      load_estimate::outcome_half_life / 2);
    if (each.draw < share(group, each))
        return {.kept_repeats = kept};
    const auto room_after = time_to_room(group, each);
    const auto latest =
        each.received +
        to_duration(max_wait_ratio * seconds(each.target_latency).count());
    if (now + room_after <= latest && !each.has_waited)
        return {.verdict = admission_verdict::wait,
                .reason = admission_reason::crowded,
                .decide_at = now + room_after};
    return refuse(each, admission_reason::crowded, room_after);
}

double request_admission::kept_repeats(const group_record& group,
                                       const load_estimate::group_values& load)
{
    if (group.shortage > 0)
        return kept_in_shortage;
    return mean_rejected(load) > max_borne_rejections ? kept_when_rejected : 0;
}

request_admission::decision request_admission::refuse(const request& each,
                                                      admission_reason reason,
                                                      duration room_after)
{
    const double shortest =
        seconds(std::max<duration>(min_retry_after, room_after)).count();
    return {.verdict = admission_verdict::refuse,
            .reason = reason,
            .retry_after =
                to_duration(shortest * (1 + retry_spread * each.draw))};
}

duration request_admission::time_to_room(const group_record& group,
                                         const request& each)
{
    const double needed =
        static_cast<double>(less_urgent_classes(group, each)) + 1 - each.draw -
        (each.is_caller_repeat ? caller_repeat_shortage : 0);
    const double missing = std::max(0.0, group.shortage - needed);
    // The shortage falls once the wait is allowed again.
    return group.last_wait + to_duration(missing / integral_gain);
}

}
