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

// A queue of ids, ordered by priority and then by deadline.
template <class Id>
class waiting_list
{
public:
    // Priorities are 0 (highest) to 3; higher values are treated as 3.
    static constexpr unsigned lowest_priority = 3;

    // Returns false and changes nothing if the id is already in the list.
    bool insert(Id id, unsigned priority, time_point deadline)
    {
        const position inserted{.priority = std::min(priority, lowest_priority),
                                .deadline = deadline};
        if (!this->positions.emplace(id, inserted).second)
            return false;
        this->queues[inserted.priority].emplace(deadline, id);
        return true;
    }

    // Removes the id. Returns false if it is not in the list.
    bool erase(Id id)
    {
        const auto entry = this->positions.find(id);
        if (entry == this->positions.end())
            return false;
        this->queues[entry->second.priority].erase(
            {entry->second.deadline, id});
        this->positions.erase(entry);
        return true;
    }

    bool is_empty(unsigned priority) const
    {
        return this->queues[priority].empty();
    }

    std::size_t size() const
    {
        return this->positions.size();
    }

    std::size_t size(unsigned priority) const
    {
        return this->queues[priority].size();
    }

    // Removes and returns the id with the earliest deadline. The priority must
    // not be empty.
    Id take_first(unsigned priority)
    {
        auto& queue = this->queues[priority];
        const Id id = queue.begin()->second;
        queue.erase(queue.begin());
        this->positions.erase(id);
        return id;
    }

    // Removes and returns all ids with a deadline at or before `limit`.
    std::vector<Id> take_until(time_point limit)
    {
        std::vector<Id> expired;
        for (unsigned priority = 0; priority <= lowest_priority; ++priority)
        {
            const auto& queue = this->queues[priority];
            while (!queue.empty() && queue.begin()->first <= limit)
                expired.push_back(this->take_first(priority));
        }
        return expired;
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
    // Where an id is stored in `queues`.
    struct position
    {
        unsigned priority = 0;
        time_point deadline;
    };

    // By priority; ordered by deadline, then by id.
    std::array<std::set<std::pair<time_point, Id>>, lowest_priority + 1> queues;
    std::map<Id, position> positions;
};

}

#endif
