#ifndef WISTERIAHATCH_CORE_BASE_WAITING_LIST_HPP
#define WISTERIAHATCH_CORE_BASE_WAITING_LIST_HPP

#include "core/base/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wisteriahatch
{

// Work that waits for its turn, by priority and then by deadline.
template <class Id>
class waiting_list
{
public:
    // Priorities are 0 (highest) to 3; higher values are taken as 3.
    static constexpr unsigned lowest_priority = 3;

    // Returns false and changes nothing when the id waits already.
    bool insert(Id id, unsigned priority, time_point deadline)
    {
        const place where{.priority = std::min(priority, lowest_priority),
                          .deadline = deadline};
        if (!this->places.emplace(id, where).second)
            return false;
        this->queues[where.priority].emplace(deadline, id);
        return true;
    }

    // Removes the id; returns false when it does not wait.
    bool erase(Id id)
    {
        const auto entry = this->places.find(id);
        if (entry == this->places.end())
            return false;
        this->queues[entry->second.priority].erase(
            {entry->second.deadline, id});
        this->places.erase(entry);
        return true;
    }

    bool is_empty(unsigned priority) const
    {
        return this->queues[priority].empty();
    }

    std::size_t size() const
    {
        return this->places.size();
    }

    std::size_t size(unsigned priority) const
    {
        return this->queues[priority].size();
    }

    // Removes the id with the earliest deadline of a priority that is not
    // empty.
    Id take_first(unsigned priority)
    {
        auto& queue = this->queues[priority];
        const Id id = queue.begin()->second;
        queue.erase(queue.begin());
        this->places.erase(id);
        return id;
    }

    // Removes all ids with a deadline at or before `limit`.
    std::vector<Id> take_until(time_point limit)
    {
        std::vector<Id> late;
        for (unsigned priority = 0; priority <= lowest_priority; ++priority)
        {
            const auto& queue = this->queues[priority];
            while (!queue.empty() && queue.begin()->first <= limit)
                late.push_back(this->take_first(priority));
        }
        return late;
    }

    std::optional<time_point> next_deadline() const
    {
        std::optional<time_point> next;
        for (const auto& queue : this->queues)
        {
            if (!queue.empty() && (!next || queue.begin()->first < *next))
                next = queue.begin()->first;
        }
        return next;
    }

private:
    // Where a waiting id is found.
    struct place
    {
        unsigned priority = 0;
        time_point deadline;
    };

    // By priority; ordered by deadline, then by id.
    std::array<std::set<std::pair<time_point, Id>>, lowest_priority + 1> queues;
    std::map<Id, place> places;
};

}

#endif
