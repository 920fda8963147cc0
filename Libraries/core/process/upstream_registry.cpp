#include "core/process/upstream_registry.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace wisteriahatch
{

namespace
{

// True when both entries were written by the same start of an upstream.
bool is_same_upstream(const upstream_spec& left, const upstream_spec& right)
{
    return left.start == right.start && left.address == right.address &&
           left.service == right.service;
}

}

void upstream_registry::set_leaving_grace(duration value)
{
    this->grace = value;
    for (const auto& [id, entry] : this->upstreams)
        entry->state->signals().set_leaving_grace(value);
    for (const auto& [id, earlier] : this->dropped)
        earlier.state->signals().set_leaving_grace(value);
}

bool upstream_registry::set(const upstream_spec& spec, time_point now,
                            std::optional<time_point> unchanged_at)
{
    if (!this->is_outdated(spec))
    {
        this->held_back.erase(spec.id);
        return this->add(spec, now, unchanged_at.value_or(now));
    }
    this->held_back.try_emplace(
        spec.id, held_upstream{.spec = spec, .usable_at = now + hold_time});
    return false;
}

bool upstream_registry::is_outdated(const upstream_spec& spec) const
{
    const auto found = this->departures.find(spec.id);
    // A leaving upstream says so again with the same or a later statement.
    return found != this->departures.end() && spec.sequence > 0 &&
           !spec.is_draining && found->second.start == spec.start &&
           spec.sequence <= found->second.sequence;
}

void upstream_registry::record_departure(const upstream_spec& spec,
                                         time_point now)
{
    this->departures.insert_or_assign(spec.id,
                                      departure{.start = spec.start,
                                                .sequence = spec.sequence,
                                                .left_at = now});
}

bool upstream_registry::add(const upstream_spec& spec, time_point now,
                            time_point unchanged_at)
{
    if (spec.is_draining)
        this->record_departure(spec, now);
    else
        this->departures.erase(spec.id);
    const auto found = this->upstreams.find(spec.id);
    const bool is_known = found != this->upstreams.end();
    // It is unknown how long it has been draining; it may be about to stop.
    if (!is_known && spec.is_draining)
        return false;
    const bool is_same_start =
        is_known && is_same_upstream(found->second->spec, spec);
    // The remaining warm-up is read only once per start, so it isn't compared.
    if (is_same_start && found->second->spec.slots == spec.slots &&
        found->second->spec.failure_domain == spec.failure_domain &&
        found->second->spec.is_draining == spec.is_draining &&
        found->second->leaving_since.has_value() == spec.is_draining)
        return false;
    auto entry = std::make_shared<registered_upstream>();
    entry->spec = spec;
    entry->state = this->state_for(spec, now);
    if (spec.is_draining)
        entry->leaving_since =
            is_same_start ? found->second->leaving_since.value_or(unchanged_at)
                          : unchanged_at;
    if (is_known)
        this->drop(*found->second);
    this->put(entry);
    return true;
}

std::shared_ptr<upstream_state>
upstream_registry::state_for(const upstream_spec& spec, time_point now) const
{
    const auto known = this->upstreams.find(spec.id);
    if (known != this->upstreams.end() &&
        is_same_upstream(known->second->spec, spec))
        return known->second->state;
    const auto earlier = this->dropped.find(spec.id);
    if (earlier != this->dropped.end() &&
        is_same_upstream(earlier->second.spec, spec))
        return earlier->second.state;
    auto state = std::make_shared<upstream_state>(
        spec.id, spec.failure_domain,
        now + spec.warm_up_left -
            duration(upstream_state::cold_start_duration));
    state->signals().set_leaving_grace(this->grace);
    return state;
}

void upstream_registry::remember_signals(const registered_upstream& entry,
                                         time_point now)
{
    if (entry.state->signals().has_any())
        this->dropped.insert_or_assign(entry.spec.id,
                                       dropped_upstream{.spec = entry.spec,
                                                        .state = entry.state,
                                                        .dropped_at = now});
}

bool upstream_registry::remove(std::string_view id, time_point now,
                               std::optional<time_point> unchanged_at)
{
    if (const auto held = this->held_back.find(id);
        held != this->held_back.end())
        this->held_back.erase(held);
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || found->second->leaving_since)
        return false;
    this->record_departure(found->second->spec, now);
    auto entry = std::make_shared<registered_upstream>(*found->second);
    entry->leaving_since = unchanged_at.value_or(now);
    this->drop(*found->second);
    this->put(entry);
    return true;
}

bool upstream_registry::replace_all(const std::vector<upstream_spec>& specs,
                                    time_point now,
                                    std::optional<time_point> unchanged_at)
{
    bool has_changed = false;
    std::set<std::string_view> listed;
    for (const auto& spec : specs)
    {
        listed.insert(spec.id);
        has_changed = this->set(spec, now, unchanged_at) || has_changed;
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : this->upstreams)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const auto& [id, held] : this->held_back)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const auto& id : missing)
        has_changed = this->remove(id, now, unchanged_at) || has_changed;
    return has_changed;
}

bool upstream_registry::expire(time_point now)
{
    std::vector<registered_upstream_ptr> expired;
    for (const auto& [id, entry] : this->upstreams)
        if (entry->leaving_since && *entry->leaving_since + this->grace <= now)
            expired.push_back(entry);
    for (const auto& entry : expired)
    {
        this->remember_signals(*entry, now);
        this->drop(*entry);
    }
    std::erase_if(this->dropped, [now](const auto& each)
                  { return each.second.dropped_at + departure_memory <= now; });
    std::erase_if(this->departures, [now](const auto& each)
                  { return each.second.left_at + departure_memory <= now; });
    return this->release_held(now) || !expired.empty();
}

bool upstream_registry::release_held(time_point now)
{
    std::vector<upstream_spec> usable;
    for (const auto& [id, held] : this->held_back)
        if (held.usable_at <= now)
            usable.push_back(held.spec);
    for (const auto& spec : usable)
    {
        this->held_back.erase(spec.id);
        this->add(spec, now, now);
    }
    return !usable.empty();
}

std::optional<time_point> upstream_registry::next_expiry() const
{
    std::optional<time_point> next;
    for (const auto& [id, entry] : this->upstreams)
        if (entry->leaving_since &&
            (!next || *entry->leaving_since + this->grace < *next))
            next = *entry->leaving_since + this->grace;
    for (const auto& [id, held] : this->held_back)
        next = std::min(held.usable_at, next.value_or(held.usable_at));
    return next;
}

const upstream_group& upstream_registry::group(std::string_view service) const
{
    static const upstream_group empty;
    const auto found = this->groups.find(service);
    return found == this->groups.end() ? empty : found->second;
}

const std::map<std::string, upstream_group, std::less<>>&
upstream_registry::by_service() const
{
    return this->groups;
}

std::vector<upstream_spec> upstream_registry::listed() const
{
    std::vector<upstream_spec> specs;
    for (const auto& [id, entry] : this->upstreams)
        if (!entry->leaving_since || entry->spec.is_draining)
            specs.push_back(entry->spec);
    for (const auto& [id, held] : this->held_back)
        specs.push_back(held.spec);
    return specs;
}

std::optional<incarnation>
upstream_registry::known_start(std::string_view id) const
{
    if (const auto found = this->upstreams.find(id);
        found != this->upstreams.end())
        return found->second->spec.start;
    if (const auto left = this->departures.find(id);
        left != this->departures.end())
        return left->second.start;
    return std::nullopt;
}

std::size_t upstream_registry::held() const
{
    return this->held_back.size();
}

const std::map<std::string, registered_upstream_ptr, std::less<>>&
upstream_registry::all() const
{
    return this->upstreams;
}

void upstream_registry::put(const std::shared_ptr<registered_upstream>& entry)
{
    this->groups[entry->spec.service].push_back(entry);
    this->upstreams[entry->spec.id] = entry;
}

void upstream_registry::drop(const registered_upstream& entry)
{
    const auto group = this->groups.find(entry.spec.service);
    const auto id = entry.spec.id;
    if (group != this->groups.end())
    {
        std::erase_if(group->second, [&id](const registered_upstream_ptr& each)
                      { return each->spec.id == id; });
        if (group->second.empty())
            this->groups.erase(group);
    }
    this->upstreams.erase(id);
}

}
