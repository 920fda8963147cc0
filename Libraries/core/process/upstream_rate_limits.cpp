#include "core/process/upstream_rate_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriahatch
{

namespace
{

using seconds = std::chrono::duration<double>;

}

bool upstream_rate_limits::merge(rate_limit_report report,
                                 std::string_view reporter, time_point now)
{
    if (report.age < duration::zero() || report.age >= statement_lifetime)
        return false;
    report.age += transit_allowance;
    const bool has_changed = this->record(report, now);
    auto* entry = this->find_limited(report.upstream);
    if (entry == nullptr || !report.demand)
        return has_changed;
    auto& demands = entry->peer_demands;
    if (demands.size() >= max_peer_demands && !demands.contains(reporter))
        demands.erase(std::ranges::min_element(
            demands, {},
            [](const auto& each) { return each.second.reported_at; }));
    demands.insert_or_assign(
        std::string(reporter),
        peer_demand{.per_second = *report.demand, .reported_at = now});
    return has_changed;
}

std::vector<rate_limit_report>
upstream_rate_limits::reports(std::size_t max_reports, time_point now)
{
    std::vector<rate_limit_report> list;
    const auto count = std::min(max_reports, this->upstreams.size());
    list.reserve(count);
    auto next = this->upstreams.upper_bound(this->last_reported);
    while (list.size() < count)
    {
        if (next == this->upstreams.end())
            next = this->upstreams.begin();
        auto& [id, entry] = *next;
        rate_limit_report report{
            .upstream = id,
            .failure_domain = entry.failure_domain,
            .per_second = entry.per_second,
            .age = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - entry.stated_at)};
        if (entry.per_second)
            this->update_share(id, entry, now);
        if (entry.per_second && entry.is_holder)
            report.demand = demand_at(entry, now);
        list.push_back(std::move(report));
        this->last_reported = id;
        ++next;
    }
    return list;
}

void upstream_rate_limits::set_fleet(rate_limit_fleet instances)
{
    if (instances == this->fleet)
        return;
    this->fleet = std::move(instances);
    ++this->fleet_changes;
}

void upstream_rate_limits::expire(time_point now)
{
    std::erase_if(this->upstreams, [now](const auto& each)
                  { return now - each.second.stated_at > statement_lifetime; });
}

bool upstream_rate_limits::admit(const registered_upstream& upstream,
                                 time_point now)
{
    auto* entry = this->find_limited(upstream.spec.id);
    if (entry == nullptr)
        return true;
    this->add_demand(*entry, now);
    this->update_share(upstream.spec.id, *entry, now);
    if (entry->is_holder && entry->saved >= 1)
        return true;
    ++entry->withheld;
    return false;
}

void upstream_rate_limits::record_send(const registered_upstream& upstream,
                                       send_kind kind, time_point now)
{
    auto* entry = this->find_limited(upstream.spec.id);
    if (entry == nullptr)
        return;
    this->update_share(upstream.spec.id, *entry, now);
    entry->saved = std::max(0.0, entry->saved - 1);
    ++(kind == send_kind::first ? entry->first_sends : entry->repeats);
}

std::optional<time_point>
upstream_rate_limits::next_send(std::string_view upstream, time_point now) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end() || !found->second.per_second ||
        !found->second.is_holder || found->second.share <= 0)
        return std::nullopt;
    const auto& entry = found->second;
    const seconds wait(std::max(0.0, 1 - entry.saved) / entry.share);
    return now + std::chrono::duration_cast<duration>(wait);
}

std::vector<rate_limit_use> upstream_rate_limits::take_use()
{
    std::vector<rate_limit_use> use;
    for (auto& [id, entry] : this->upstreams)
    {
        if (!entry.per_second)
            continue;
        use.push_back({.upstream = id,
                       .per_second = *entry.per_second,
                       .share = entry.is_holder ? entry.share : 0,
                       .first_sends = std::exchange(entry.first_sends, 0),
                       .repeats = std::exchange(entry.repeats, 0),
                       .withheld = std::exchange(entry.withheld, 0)});
    }
    return use;
}

std::size_t upstream_rate_limits::size() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->upstreams, [](const auto& each)
                              { return each.second.per_second.has_value(); }));
}

upstream_rate_limits::limited_upstream*
upstream_rate_limits::find_limited(std::string_view upstream)
{
    // Most of the time no upstream has a limit.
    if (this->upstreams.empty())
        return nullptr;
    const auto found = this->upstreams.find(upstream);
    const bool is_limited =
        found != this->upstreams.end() && found->second.per_second;
    return is_limited ? &found->second : nullptr;
}

bool upstream_rate_limits::record(const rate_limit_report& report,
                                  time_point now)
{
    const auto stated_at = now - report.age;
    const auto found = this->upstreams.find(report.upstream);
    if (found == this->upstreams.end())
    {
        if (!report.per_second || this->upstreams.size() >= max_upstreams)
            return false;
        this->upstreams.emplace(
            report.upstream,
            limited_upstream{.per_second = report.per_second,
                             .stated_at = stated_at,
                             .failure_domain = report.failure_domain});
        return true;
    }
    auto& entry = found->second;
    if (stated_at <= entry.stated_at)
        return false;
    entry.stated_at = stated_at;
    if (entry.per_second == report.per_second)
        return false;
    entry.per_second = report.per_second;
    entry.fleet_change = 0;
    return true;
}

void upstream_rate_limits::add_demand(limited_upstream& entry,
                                      time_point now) const
{
    entry.demand = demand_at(entry, now) + 1 / seconds(demand_window).count();
    entry.demand_updated_at = now;
}

double upstream_rate_limits::demand_at(const limited_upstream& entry,
                                       time_point now)
{
    const seconds elapsed = now - entry.demand_updated_at;
    return entry.demand * std::exp(-elapsed / seconds(demand_window));
}

double upstream_rate_limits::demand_ratio(const limited_upstream& entry,
                                          time_point now)
{
    const double own = demand_at(entry, now);
    double sum = own;
    std::size_t count = 1;
    for (const auto& [address, demand] : entry.peer_demands)
    {
        if (now - demand.reported_at > peer_demand_lifetime)
            continue;
        sum += demand.per_second;
        ++count;
    }
    return sum > 0 ? own * static_cast<double>(count) / sum : 1;
}

void upstream_rate_limits::update_share(std::string_view id,
                                        limited_upstream& entry,
                                        time_point now) const
{
    const seconds elapsed = now - entry.saved_at;
    entry.saved =
        std::min(max_saved(entry), entry.saved + entry.share * elapsed.count());
    entry.saved_at = now;
    const double limit = entry.per_second.value_or(0);
    if (std::exchange(entry.fleet_change, this->fleet_changes) !=
        this->fleet_changes)
        entry.is_holder = wisteriahatch::is_holder(this->fleet, id,
                                                   entry.failure_domain, limit);
    entry.share = entry.is_holder ? holder_share(this->fleet, limit,
                                                 demand_ratio(entry, now))
                                  : 0;
}

double upstream_rate_limits::max_saved(const limited_upstream& entry)
{
    return std::max(1.0, entry.share * seconds(max_saved_time).count());
}

}
