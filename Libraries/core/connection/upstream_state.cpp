#include "core/connection/upstream_state.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace wisteriahatch
{

namespace
{

// Factor of a new replica's score, which falls to 1 over cold_start_duration.
constexpr double cold_start_factor = 4;

std::int64_t to_nanoseconds(duration value)
{
    return std::chrono::nanoseconds(value).count();
}

std::int64_t to_nanoseconds(time_point value)
{
    return to_nanoseconds(value.time_since_epoch());
}

}

upstream_state::upstream_state(std::string name, std::string failure_domain,
                               time_point first_seen)
    : replica_name(std::move(name))
    , domain(std::move(failure_domain))
    , first_seen(first_seen)
    , last_sample_nanoseconds(to_nanoseconds(first_seen))
{
}

const std::string& upstream_state::name() const
{
    return this->replica_name;
}

const std::string& upstream_state::failure_domain() const
{
    return this->domain;
}

void upstream_state::record_start(time_point now)
{
    if (this->running++ == 0)
        this->unanswered_since_nanoseconds = to_nanoseconds(now);
}

void upstream_state::record_success(duration latency, time_point now)
{
    this->end_attempt(now);
    this->add_outcome(0);
    this->consecutive_failures = 0;
    this->ejections = 0;
    this->add_sample(latency, now);
}

void upstream_state::record_failure(duration penalty, time_point now)
{
    this->end_attempt(now);
    this->add_outcome(1);
    this->add_sample(std::max(penalty, this->smoothed_latency()), now);
    // Failures of attempts that were already running at the time of an ejection
    // do not extend it.
    if (++this->consecutive_failures < ejection_failures ||
        this->is_ejected(now))
        return;
    const unsigned doublings = std::min(this->ejections++, 8U);
    const duration length = std::min<duration>(
        base_ejection_time * (1U << doublings), max_ejection_time);
    this->ejected_until_nanoseconds = to_nanoseconds(now + length);
}

void upstream_state::record_cancel(time_point now)
{
    // A cancellation is no answer, so it does not restart the time for which
    // the other attempts have had none.
    const auto since = this->unanswered_since_nanoseconds.load();
    this->end_attempt(now);
    if (this->running > 0)
        this->unanswered_since_nanoseconds = since;
}

double upstream_state::failure_ratio() const
{
    return this->failures;
}

void upstream_state::record_unanswered(duration elapsed, time_point now)
{
    if (elapsed > this->smoothed_latency())
        this->add_sample(elapsed, now);
}

unsigned upstream_state::in_flight() const
{
    return this->running;
}

duration upstream_state::smoothed_latency() const
{
    return std::chrono::duration_cast<duration>(
        std::chrono::nanoseconds(this->latency_nanoseconds));
}

bool upstream_state::is_ejected(time_point now) const
{
    return to_nanoseconds(now) < this->ejected_until_nanoseconds;
}

void upstream_state::record_misdirection(time_point now)
{
    this->misdirected_until_nanoseconds =
        to_nanoseconds(now + misdirection_time);
}

bool upstream_state::is_misdirected(time_point now) const
{
    return to_nanoseconds(now) < this->misdirected_until_nanoseconds;
}

void upstream_state::set_draining(bool value)
{
    this->draining = value;
}

bool upstream_state::is_draining() const
{
    return this->draining;
}

upstream_signals& upstream_state::signals()
{
    return this->own_signals;
}

const upstream_signals& upstream_state::signals() const
{
    return this->own_signals;
}

void upstream_state::set_in_subset(bool value)
{
    this->in_subset = value;
}

bool upstream_state::is_in_subset() const
{
    return this->in_subset;
}

void upstream_state::set_reported_load(double value)
{
    this->load = value;
}

double upstream_state::reported_load() const
{
    return this->load;
}

void upstream_state::set_versions(std::span<const index_version> held)
{
    std::vector<std::uint64_t> newest;
    for (const auto version : held)
        newest.push_back(version.value);
    std::ranges::sort(newest, std::greater<>());
    newest.resize(max_versions, 0);
    auto generation = this->versions_generation.load();
    // Every reply lists the versions, but they rarely change.
    const bool is_unchanged =
        generation != 0 &&
        std::ranges::equal(newest, this->versions,
                           [](std::uint64_t left, const auto& right)
                           { return left == right.load(); });
    // The list of a concurrent writer is as recent as this one.
    if (is_unchanged || generation % 2 != 0 ||
        !this->versions_generation.compare_exchange_strong(generation,
                                                           generation + 1))
        return;
    for (std::size_t slot = 0; slot < max_versions; ++slot)
        this->versions[slot] = newest[slot];
    ++this->versions_generation;
}

bool upstream_state::may_hold(index_version version) const
{
    const auto generation = this->versions_generation.load();
    if (generation == 0)
        return true;
    const bool is_listed =
        std::ranges::any_of(this->versions, [&](const auto& slot)
                            { return slot.load() == version.value; });
    // A list that changed during the read doesn't prove that the replica lacks
    // the version.
    return is_listed || generation % 2 != 0 ||
           generation != this->versions_generation;
}

double upstream_state::score(time_point now, duration typical_latency) const
{
    using seconds = std::chrono::duration<double>;
    const std::int64_t observed = this->latency_nanoseconds;
    const double latency =
        observed > 0 ? static_cast<double>(observed)
                     : static_cast<double>(to_nanoseconds(assumed_latency));
    const seconds unused = std::chrono::nanoseconds(std::max<std::int64_t>(
        0, to_nanoseconds(now) - this->last_sample_nanoseconds));
    const double age = std::clamp(seconds(now - this->first_seen) /
                                      seconds(cold_start_duration),
                                  0.0, 1.0);
    const std::int64_t since = this->unanswered_since_nanoseconds;
    const double unanswered =
        since > 0 ? static_cast<double>(to_nanoseconds(now) - since) : 0;
    const double recovery = std::exp2(-unused / seconds(latency_half_life));
    const double typical =
        observed > 0
            ? std::min(latency,
                       static_cast<double>(to_nanoseconds(typical_latency)))
            : 0;
    return std::max({latency * recovery, typical, unanswered}) *
           (this->in_flight() + 1.0) *
           (cold_start_factor - age * (cold_start_factor - 1)) *
           (1 + failure_weight * this->failures * recovery);
}

void upstream_state::add_sample(duration latency, time_point now)
{
    const std::int64_t sample =
        std::max<std::int64_t>(1, to_nanoseconds(latency));
    std::int64_t old = this->latency_nanoseconds;
    std::int64_t smoothed = 0;
    do
    {
        const auto previous = static_cast<double>(old);
        const bool is_slowdown =
            static_cast<double>(sample) >= previous * slowdown_factor;
        const double weight = is_slowdown ? slowdown_weight : sample_weight;
        smoothed =
            old == 0
                ? sample
                : std::max<std::int64_t>(
                      1, std::llround(previous + weight * static_cast<double>(
                                                              sample - old)));
    } while (!this->latency_nanoseconds.compare_exchange_weak(old, smoothed));
    this->last_sample_nanoseconds = to_nanoseconds(now);
}

void upstream_state::add_outcome(double failed)
{
    double old = this->failures;
    while (!this->failures.compare_exchange_weak(old, old + sample_weight *
                                                                (failed - old)))
    {
    }
}

void upstream_state::end_attempt(time_point now)
{
    // Stops at zero, so that an unmatched call can't wrap around and make the
    // replica look infinitely loaded.
    unsigned count = this->running;
    while (count > 0 && !this->running.compare_exchange_weak(count, count - 1))
    {
    }
    this->unanswered_since_nanoseconds = count > 1 ? to_nanoseconds(now) : 0;
}

}
