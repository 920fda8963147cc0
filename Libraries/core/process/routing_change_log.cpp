#include "core/process/routing_change_log.hpp"

#include <utility>

namespace wisteriahatch
{

void routing_change_log::reset(std::uint64_t revision)
{
    this->start_revision = revision;
    this->entries.clear();
}

void routing_change_log::append(std::uint64_t revision, upstream_change change)
{
    this->append(entry{.revision = revision, .change = std::move(change)});
}

void routing_change_log::append(std::uint64_t revision,
                                evacuation_change change)
{
    this->append(entry{.revision = revision, .change = std::move(change)});
}

void routing_change_log::append(entry next)
{
    this->entries.push_back(std::move(next));
    if (this->entries.size() <= max_changes)
        return;
    this->start_revision = this->entries.front().revision;
    this->entries.pop_front();
}

routing_changes routing_change_log::since(std::uint64_t revision) const
{
    routing_changes changes;
    changes.is_history_lost = revision < this->start_revision;
    if (changes.is_history_lost)
        return changes;
    changes.evacuations.emplace();
    for (const auto& each : this->entries)
    {
        if (each.revision <= revision)
            continue;
        if (const auto* upstream = std::get_if<upstream_change>(&each.change))
            changes.upstreams.push_back(*upstream);
        else
            changes.evacuations->push_back(
                std::get<evacuation_change>(each.change));
    }
    return changes;
}

}
