#include "ctl/commands/request_story.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace wisteriahatch::ctl
{

namespace
{

// The last of each of these before the request ended says what its instance
// believed. Events of one row replace one another.
constexpr std::array<std::array<std::string_view, 2>, 4> belief_events{{
    {"started", "shutdown_started"},
    {"routes_adopted", "routes_adopted"},
    {"source_lost", "source_regained"},
    {"shares_changed", "shares_changed"},
}};

// Returns the row of an event; the number of rows when it has none.
std::size_t belief_row(std::string_view event)
{
    const auto row = std::ranges::find_if(
        belief_events, [event](const std::array<std::string_view, 2>& names)
        { return std::ranges::find(names, event) != names.end(); });
    return static_cast<std::size_t>(row - belief_events.begin());
}

// Adds the upstreams of a list "ID:end,ID:end".
void add_upstreams(std::string_view list, std::vector<std::string>& known)
{
    while (!list.empty())
    {
        const auto item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::string id(item.substr(0, item.find(':')));
        if (!id.empty() && std::ranges::find(known, id) == known.end())
            known.push_back(id);
    }
}

}

request_story::request_story(std::string_view request_id,
                             const std::vector<log_record>& records)
{
    this->collect_own(request_id, records);
    this->collect_beliefs(records);
    this->collect_upstreams(records);
    std::ranges::stable_sort(this->told, std::less<>(),
                             [](const told_line& line)
                             { return line.record->field("time"); });
}

bool request_story::is_found() const
{
    return !this->ends.empty();
}

std::vector<std::string> request_story::lines() const
{
    std::vector<std::string> text;
    for (const auto& line : this->told)
        text.push_back(std::string(line.is_own ? "* " : "  ") +
                       line.record->source + ": " + line.record->text);
    return text;
}

void request_story::collect_own(std::string_view request_id,
                                const std::vector<log_record>& records)
{
    std::map<std::string_view, const log_record*> last;
    for (const auto& record : records)
    {
        if (record.field("id") != request_id)
            continue;
        this->told.push_back({.record = &record, .is_own = true});
        last[record.source] = &record;
        add_upstreams(record.field("upstreams"), this->upstreams);
        add_upstreams(record.field("upstream"), this->upstreams);
    }
    for (const auto& [source, record] : last)
        this->ends.push_back(record);
}

void request_story::collect_beliefs(const std::vector<log_record>& records)
{
    std::map<std::pair<std::string_view, std::size_t>, const log_record*> last;
    for (const auto& record : records)
    {
        const auto row = belief_row(record.field("event"));
        if (row < belief_events.size() && this->is_before_end(record))
            last[{record.source, row}] = &record;
    }
    for (const auto& [key, record] : last)
        this->told.push_back({.record = record, .is_own = false});
}

void request_story::collect_upstreams(const std::vector<log_record>& records)
{
    for (const auto& upstream : this->upstreams)
    {
        std::vector<const log_record*> others;
        const log_record* changed = nullptr;
        for (const auto& record : records)
        {
            if (record.field("upstream") != upstream ||
                !this->is_before_end(record))
                continue;
            if (record.field("event") == "upstream_changed")
                changed = &record;
            const bool is_own =
                std::ranges::any_of(this->told, [&record](const told_line& line)
                                    { return line.record == &record; });
            if (record.field("event") == "attempt_ended" && !is_own)
                others.push_back(&record);
        }
        if (changed != nullptr)
            this->told.push_back({.record = changed, .is_own = false});
        const auto left_out =
            others.size() - std::min(others.size(), most_other_attempts);
        for (std::size_t at = left_out; at < others.size(); ++at)
            this->told.push_back({.record = others[at], .is_own = false});
    }
}

bool request_story::is_before_end(const log_record& record) const
{
    return std::ranges::any_of(this->ends,
                               [&record](const log_record* end)
                               {
                                   return end->source == record.source &&
                                          record.field("time") <=
                                              end->field("time");
                               });
}

}
