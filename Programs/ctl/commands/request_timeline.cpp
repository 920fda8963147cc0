#include "ctl/commands/request_timeline.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace wisteriahatch::ctl
{

namespace
{

// Events that describe the state of an instance. The last event of each row
// before the request ended gives the state at that time.
constexpr std::array<std::array<std::string_view, 2>, 5> state_events{{
    {"started", "shutdown_started"},
    {"routes_adopted", "routes_adopted"},
    {"source_lost", "source_regained"},
    {"evacuation_started", "evacuation_ended"},
    {"shares_changed", "shares_changed"},
}};

// Returns the row of an event, or the number of rows if no row lists it.
std::size_t state_row(std::string_view event)
{
    const auto row = std::ranges::find_if(
        state_events, [event](const std::array<std::string_view, 2>& names)
        { return std::ranges::find(names, event) != names.end(); });
    return static_cast<std::size_t>(row - state_events.begin());
}

// Appends the upstreams of a list "ID:OUTCOME,ID:OUTCOME" that are not in
// `upstreams` yet.
void add_upstreams(std::string_view list, std::vector<std::string>& upstreams)
{
    while (!list.empty())
    {
        const auto item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::string id(item.substr(0, item.find(':')));
        if (!id.empty() && std::ranges::find(upstreams, id) == upstreams.end())
            upstreams.push_back(id);
    }
}

}

request_timeline::request_timeline(std::string_view request_id,
                                   const std::vector<log_record>& records)
{
    this->collect_request_records(request_id, records);
    this->collect_state_records(records);
    this->collect_upstream_records(records);
    std::ranges::stable_sort(this->entries, std::less<>(),
                             [](const timeline_entry& entry)
                             { return entry.record->field("time"); });
}

bool request_timeline::is_found() const
{
    return !this->last_records.empty();
}

std::vector<std::string> request_timeline::lines() const
{
    std::vector<std::string> text;
    for (const auto& entry : this->entries)
        text.push_back(std::string(entry.is_about_request ? "* " : "  ") +
                       entry.record->source + ": " + entry.record->text);
    return text;
}

void request_timeline::collect_request_records(
    std::string_view request_id, const std::vector<log_record>& records)
{
    std::map<std::string_view, const log_record*> last;
    for (const auto& record : records)
    {
        if (record.field("id") != request_id)
            continue;
        this->entries.push_back({.record = &record, .is_about_request = true});
        last[record.source] = &record;
        add_upstreams(record.field("upstreams"), this->used_upstreams);
        add_upstreams(record.field("upstream"), this->used_upstreams);
    }
    for (const auto& [source, record] : last)
        this->last_records.push_back(record);
}

void request_timeline::collect_state_records(
    const std::vector<log_record>& records)
{
    std::map<std::pair<std::string_view, std::size_t>, const log_record*> last;
    for (const auto& record : records)
    {
        const auto row = state_row(record.field("event"));
        if (row < state_events.size() && this->is_before_request_end(record))
            last[{record.source, row}] = &record;
    }
    for (const auto& [key, record] : last)
        this->entries.push_back({.record = record, .is_about_request = false});
}

void request_timeline::collect_upstream_records(
    const std::vector<log_record>& records)
{
    for (const auto& upstream : this->used_upstreams)
    {
        std::vector<const log_record*> other_attempts;
        const log_record* last_change = nullptr;
        for (const auto& record : records)
        {
            if (record.field("upstream") != upstream ||
                !this->is_before_request_end(record))
                continue;
            if (record.field("event") == "upstream_changed")
                last_change = &record;
            const bool is_listed = std::ranges::any_of(
                this->entries, [&record](const timeline_entry& entry)
                { return entry.record == &record; });
            if (record.field("event") == "attempt_ended" && !is_listed)
                other_attempts.push_back(&record);
        }
        if (last_change != nullptr)
            this->entries.push_back(
                {.record = last_change, .is_about_request = false});
        const auto first = other_attempts.size() -
                           std::min(other_attempts.size(), max_other_attempts);
        for (std::size_t index = first; index < other_attempts.size(); ++index)
            this->entries.push_back(
                {.record = other_attempts[index], .is_about_request = false});
    }
}

bool request_timeline::is_before_request_end(const log_record& record) const
{
    return std::ranges::any_of(this->last_records,
                               [&record](const log_record* last)
                               {
                                   return last->source == record.source &&
                                          record.field("time") <=
                                              last->field("time");
                               });
}

}
