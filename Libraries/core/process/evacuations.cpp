#include "core/process/evacuations.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace wisteriahatch
{

template <class Predicate>
std::vector<evacuation_change> evacuations::end_if(Predicate has_ended)
{
    std::vector<evacuation_change> changes;
    for (auto each = this->domains.begin(); each != this->domains.end();)
    {
        if (!has_ended(each->first, each->second))
        {
            ++each;
            continue;
        }
        changes.push_back(
            {.failure_domain = each->first, .is_evacuated = false});
        each = this->domains.erase(each);
    }
    return changes;
}

std::vector<evacuation_change>
evacuations::replace_all(const std::vector<std::string>& failure_domains,
                         const std::string& origin, time_point now)
{
    std::vector<evacuation_change> changes;
    for (const auto& each : failure_domains)
        std::ranges::move(this->set(each, true, origin, now),
                          std::back_inserter(changes));
    const std::set<std::string_view> is_listed(failure_domains.begin(),
                                               failure_domains.end());
    std::ranges::move(
        this->end_if(
            [&is_listed](const std::string& name, const evacuation& known)
            { return !is_listed.contains(name) && !known.held_until; }),
        std::back_inserter(changes));
    return changes;
}

std::vector<evacuation_change>
evacuations::set(const std::string& failure_domain, bool is_evacuated,
                 const std::string& origin, time_point now)
{
    if (!is_evacuated)
        return this->end_if([&](const std::string& name, const evacuation&)
                            { return name == failure_domain; });
    const auto [known, is_new] = this->domains.try_emplace(
        failure_domain, evacuation{.since = now, .origin = origin});
    known->second.held_until.reset();
    if (!is_new)
        return {};
    return {{.failure_domain = failure_domain, .is_evacuated = true}};
}

void evacuations::handle_restoration(time_point now)
{
    for (auto& [name, known] : this->domains)
        if (!known.held_until)
            known.held_until = now + hold_time;
}

std::vector<evacuation_change> evacuations::expire(time_point now)
{
    return this->end_if(
        [now](const std::string&, const evacuation& known)
        { return known.held_until && *known.held_until <= now; });
}

bool evacuations::contains(std::string_view failure_domain) const
{
    return this->domains.contains(failure_domain);
}

std::optional<time_point> evacuations::next_expiry() const
{
    std::optional<time_point> next;
    for (const auto& [name, known] : this->domains)
        if (known.held_until)
            next =
                std::min(*known.held_until, next.value_or(*known.held_until));
    return next;
}

std::vector<std::string> evacuations::listed() const
{
    std::vector<std::string> names;
    for (const auto& [name, known] : this->domains)
        if (!known.held_until)
            names.push_back(name);
    return names;
}

const evacuations::domain_map& evacuations::all() const
{
    return this->domains;
}

}
