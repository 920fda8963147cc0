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
    this->entries.push_back(
        {.revision = revision, .change = std::move(change)});
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
    for (const auto& each : this->entries)
        if (each.revision > revision)
            changes.upstreams.push_back(each.change);
    return changes;
}

}
