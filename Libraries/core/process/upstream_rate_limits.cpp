#include "core/process/upstream_rate_limits.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace wisteriahatch
{

namespace
{

using seconds = std::chrono::duration<double>;

// Cold periods that the directory tells to every instance before it can send.
bool is_known_to_all(cold_origin origin)
{
    return origin == cold_origin::directory ||
           origin == cold_origin::evacuation;
}

}

std::string_view to_string(cold_origin origin)
{
    switch (origin)
    {
    case cold_origin::directory:
        return "directory";
    case cold_origin::restart:
        return "restart";
    case cold_origin::evacuation:
        return "evacuation";
    case cold_origin::reply:
        return "reply";
    case cold_origin::peer:
        return "peer";
    }
    return "";
}

void upstream_rate_limits::set_warm_up(std::optional<warm_up_bound> limits)
{
    if (limits == this->warm_up)
        return;
    this->warm_up = limits;
    ++this->fleet_changes;
}

void upstream_rate_limits::set_warm_up_rates(
    std::map<std::string, double, std::less<>> rates)
{
    this->warm_up_rates = std::move(rates);
}

bool upstream_rate_limits::has_warm_up(std::string_view service) const
{
    return this->warm_up && this->warm_up_rates.contains(service);
}

bool upstream_rate_limits::record_cold(const upstream_spec& spec, duration left,
                                       cold_origin origin, time_point now)
{
    if (left <= duration::zero() || !this->has_warm_up(spec.service))
        return false;
    const bool is_news =
        this->record_cold({.upstream = spec.id,
                           .failure_domain = spec.failure_domain,
                           .start = spec.start.value,
                           .left = left,
                           .origin = origin},
                          now);
    if (const auto found = this->upstreams.find(spec.id);
        found != this->upstreams.end())
        found->second.service = spec.service;
    return is_news;
}

bool upstream_rate_limits::record_cold(const cold_statement& statement,
                                       time_point now)
{
    auto* entry =
        this->find_or_add(statement.upstream, statement.failure_domain, now);
    if (entry == nullptr)
        return false;
    if (entry->cold_start != statement.start)
    {
        // Starts are in order; what is known of an earlier one is obsolete.
        if (statement.start < entry->cold_start && now < entry->cold_until &&
            !is_known_to_all(statement.origin))
            return false;
        entry->cold_start = statement.start;
        entry->cold_until = {};
        entry->is_cold_stated = false;
        entry->is_current_start = true;
    }
    const bool is_stated = statement.origin == cold_origin::reply ||
                           statement.origin == cold_origin::peer;
    entry->is_cold_stated = entry->is_cold_stated || is_stated;
    const auto left = std::min<duration>(statement.left, max_cold_time);
    if (now + left <= entry->cold_until)
        return false;
    const bool was_cold = now < entry->cold_until;
    entry->cold_until = now + left + cold_margin;
    entry->origin = statement.origin;
    entry->is_end_pending = true;
    if (is_stated)
    {
        entry->announcements = announcement_count;
        this->has_cold_news = true;
    }
    if (!was_cold)
    {
        entry->saved = 0;
        entry->saved_at =
            is_known_to_all(statement.origin) ? now : now + cold_spread_time;
    }
    if (this->cold_changes.size() < max_upstreams)
        this->cold_changes.push_back(
            {.upstream = std::string(statement.upstream),
             .is_cold = true,
             .origin = statement.origin,
             .left = std::chrono::ceil<std::chrono::milliseconds>(left)});
    return true;
}

upstream_rate_limits::limited_upstream* upstream_rate_limits::find_or_add(
    std::string_view upstream, std::string_view failure_domain, time_point now)
{
    if (const auto found = this->upstreams.find(upstream);
        found != this->upstreams.end())
        return &found->second;
    if (this->upstreams.size() >= max_upstreams)
        return nullptr;
    limited_upstream entry;
    // Any statement about a rate is newer.
    entry.stated_at = now - 2 * statement_lifetime;
    entry.failure_domain = failure_domain;
    return &this->upstreams.emplace(upstream, std::move(entry)).first->second;
}

std::chrono::milliseconds
upstream_rate_limits::cold_left(const upstream_spec& spec, time_point now) const
{
    const auto found = this->upstreams.find(spec.id);
    if (found == this->upstreams.end() ||
        found->second.cold_start != spec.start.value)
        return std::chrono::milliseconds(0);
    const auto left = found->second.cold_until - cold_margin - now;
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::max(left, duration::zero()));
}

std::vector<cold_change> upstream_rate_limits::take_cold_changes()
{
    return std::exchange(this->cold_changes, {});
}

bool upstream_rate_limits::take_cold_news()
{
    return std::exchange(this->has_cold_news, false);
}

std::size_t upstream_rate_limits::cold_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->upstreams, [now](const auto& each)
                              { return now < each.second.cold_until; }));
}

bool upstream_rate_limits::merge(rate_limit_report report,
                                 std::string_view reporter, time_point now)
{
    if (report.cold && this->warm_up &&
        report.cold->left > std::chrono::milliseconds(0))
        this->record_cold({.upstream = report.upstream,
                           .failure_domain = report.failure_domain,
                           .start = report.cold->start,
                           .left = report.cold->left,
                           .origin = cold_origin::peer},
                          now);
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
    std::set<std::string_view> announced;
    for (auto& [id, entry] : this->upstreams)
    {
        if (entry.announcements == 0 || list.size() >= max_reports)
            continue;
        --entry.announcements;
        if (auto report = this->make_report(id, entry, now))
        {
            list.push_back(std::move(*report));
            announced.insert(id);
        }
    }
    auto next = this->upstreams.upper_bound(this->last_reported);
    for (auto left = this->upstreams.size();
         left > 0 && list.size() < max_reports; --left, ++next)
    {
        if (next == this->upstreams.end())
            next = this->upstreams.begin();
        auto& [id, entry] = *next;
        this->last_reported = id;
        if (announced.contains(id))
            continue;
        if (auto report = this->make_report(id, entry, now))
            list.push_back(std::move(*report));
    }
    return list;
}

std::optional<rate_limit_report>
upstream_rate_limits::make_report(std::string_view id, limited_upstream& entry,
                                  time_point now)
{
    rate_limit_report report{
        .upstream = std::string(id),
        .failure_domain = entry.failure_domain,
        .per_second = entry.per_second,
        .age = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::min<duration>(now - entry.stated_at, 2 * statement_lifetime))};
    const auto left = entry.cold_until - cold_margin - now;
    if (entry.is_cold_stated && left > duration::zero())
        report.cold = {.start = entry.cold_start,
                       .left =
                           std::chrono::ceil<std::chrono::milliseconds>(left)};
    if (!report.cold && report.age >= statement_lifetime)
        return std::nullopt;
    if (entry.per_second)
        this->update_share(id, entry, now);
    if (entry.per_second && entry.is_holder)
        report.demand = demand_at(entry, now);
    return report;
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
    constexpr auto ramp_time = ramp_steps * ramp_step;
    for (auto& [id, entry] : this->upstreams)
    {
        if (!entry.is_end_pending || now < entry.cold_until)
            continue;
        entry.is_end_pending = false;
        if (this->cold_changes.size() < max_upstreams)
            this->cold_changes.push_back(
                {.upstream = id, .is_cold = false, .origin = entry.origin});
    }
    std::erase_if(this->upstreams,
                  [now, ramp_time](const auto& each)
                  {
                      return now - each.second.stated_at > statement_lifetime &&
                             now - each.second.cold_until > ramp_time;
                  });
}

bool upstream_rate_limits::admit(const registered_upstream& upstream,
                                 time_point now)
{
    auto* entry = this->find_limited(upstream, now);
    if (entry == nullptr)
        return true;
    this->add_demand(*entry, now);
    this->update_share(upstream.spec.id, *entry, now);
    if (entry->is_holder && entry->saved >= 1)
        return true;
    ++entry->withheld;
    entry->cold_withheld += entry->warm_up_rate > 0 ? 1 : 0;
    return false;
}

void upstream_rate_limits::record_send(const registered_upstream& upstream,
                                       send_kind kind, time_point now)
{
    auto* entry = this->find_limited(upstream, now);
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
    if (found == this->upstreams.end() ||
        !this->is_limited(found->second, now) ||
        this->fleet.size.view == fleet_view::settling)
        return std::nullopt;
    const auto& entry = found->second;
    if (!entry.is_holder || entry.share <= 0)
        return now < entry.cold_until ? std::optional(entry.cold_until)
                                      : std::nullopt;
    const seconds wait(std::max(0.0, 1 - entry.saved) / entry.share);
    return std::max(now, entry.saved_at) +
           std::chrono::duration_cast<duration>(wait);
}

std::vector<rate_limit_use> upstream_rate_limits::take_use()
{
    std::vector<rate_limit_use> use;
    for (auto& [id, entry] : this->upstreams)
    {
        const double rate = entry.per_second.value_or(entry.warm_up_rate);
        if (!entry.per_second && entry.warm_up_rate <= 0)
            continue;
        use.push_back({.upstream = id,
                       .per_second = rate,
                       .share = entry.is_holder ? entry.share : 0,
                       .first_sends = std::exchange(entry.first_sends, 0),
                       .repeats = std::exchange(entry.repeats, 0),
                       .withheld = std::exchange(entry.withheld, 0),
                       .cold_withheld = std::exchange(entry.cold_withheld, 0)});
    }
    return use;
}

std::size_t upstream_rate_limits::size() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->upstreams, [](const auto& each)
                              { return each.second.per_second.has_value(); }));
}

double upstream_rate_limits::warm_up_rate_at(const limited_upstream& entry,
                                             time_point now) const
{
    const auto found = this->warm_up_rates.find(entry.service);
    if (!this->warm_up || !entry.is_current_start ||
        entry.cold_until == time_point{} || found == this->warm_up_rates.end())
        return 0;
    if (now < entry.cold_until)
        return found->second;
    const auto step = (now - entry.cold_until) / ramp_step + 1;
    return step <= ramp_steps
               ? std::ldexp(found->second, static_cast<int>(step))
               : 0;
}

bool upstream_rate_limits::is_limited(const limited_upstream& entry,
                                      time_point now) const
{
    return entry.per_second || this->warm_up_rate_at(entry, now) > 0;
}

upstream_rate_limits::limited_upstream*
upstream_rate_limits::find_limited(const registered_upstream& upstream,
                                   time_point now)
{
    // Most of the time no upstream has a limit.
    if (this->upstreams.empty())
        return nullptr;
    const auto found = this->upstreams.find(upstream.spec.id);
    if (found == this->upstreams.end())
        return nullptr;
    auto& entry = found->second;
    entry.is_current_start = entry.cold_start == upstream.spec.start.value;
    if (entry.service.empty())
        entry.service = upstream.spec.service;
    return this->is_limited(entry, now) ? &entry : nullptr;
}

upstream_rate_limits::limited_upstream*
upstream_rate_limits::find_limited(std::string_view upstream)
{
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
    // `saved_at` is later than now while nothing may be sent yet.
    if (now > entry.saved_at)
    {
        const seconds elapsed = now - entry.saved_at;
        entry.saved = std::min(max_saved(entry),
                               entry.saved + entry.share * elapsed.count());
        entry.saved_at = now;
    }
    const double warm_up_rate = this->warm_up_rate_at(entry, now);
    const bool is_changed = entry.fleet_change != this->fleet_changes ||
                            entry.warm_up_rate != warm_up_rate;
    if (is_changed)
        this->determine_holder(id, entry, warm_up_rate);
    if (!entry.is_holder)
    {
        entry.share = 0;
        return;
    }
    entry.share = entry.per_second
                      ? holder_share(this->fleet, *entry.per_second,
                                     demand_ratio(entry, now))
                      : entry.warm_up_share;
    if (warm_up_rate > 0)
        entry.share = std::min(entry.share, entry.warm_up_share);
}

void upstream_rate_limits::determine_holder(std::string_view id,
                                            limited_upstream& entry,
                                            double warm_up_rate) const
{
    entry.fleet_change = this->fleet_changes;
    entry.warm_up_rate = warm_up_rate;
    entry.warm_up_share = 0;
    entry.is_holder =
        !entry.per_second ||
        wisteriahatch::is_holder(this->fleet, id, entry.failure_domain,
                                 *entry.per_second);
    if (warm_up_rate <= 0)
        return;
    const auto limit =
        make_warm_up_limit(*this->warm_up, warm_up_rate, this->fleet);
    entry.warm_up_share = limit.share;
    entry.is_holder =
        entry.is_holder && limit.share > 0 &&
        is_warm_up_holder(this->fleet, id, entry.failure_domain, limit.holders);
}

double upstream_rate_limits::max_saved(const limited_upstream& entry)
{
    const auto longest =
        entry.warm_up_rate > 0 ? max_cold_saved_time : max_saved_time;
    return std::max(1.0, entry.share * seconds(longest).count());
}

}
