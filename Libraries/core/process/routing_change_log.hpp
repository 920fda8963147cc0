#ifndef WISTERIAHATCH_CORE_PROCESS_ROUTING_CHANGE_LOG_HPP
#define WISTERIAHATCH_CORE_PROCESS_ROUTING_CHANGE_LOG_HPP

#include "core/base/error.hpp"
#include "core/process/evacuations.hpp"
#include "core/process/routing_snapshot.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriahatch
{

// One upstream that was added, changed or removed.
struct upstream_change
{
    std::string id;
    // Empty when the upstream was removed or its entry is unusable.
    std::optional<upstream_spec> spec;
};

// The changes since an earlier revision.
struct routing_changes
{
    // The state that the changes lead to.
    source_position position;
    // Time since the source confirmed this state to the instance that sends the
    // changes; zero when they come from the source itself.
    std::chrono::milliseconds source_age{0};
    // True when the log no longer holds every change since that revision; the
    // receiver then needs a snapshot.
    bool is_history_lost = false;
    // Null when the routes are unchanged.
    route_table_ptr routes;
    // Oldest change first.
    std::vector<upstream_change> upstreams;
    // Oldest change first; empty when they are not known, as in messages of
    // earlier versions.
    std::optional<std::vector<evacuation_change>> evacuations;
};

// Encode changes as JSON for another instance, and decode them.
std::string encode_changes(const routing_changes& changes);
result<routing_changes> decode_changes(std::string_view text);

// The most recent changes of upstreams and evacuations, which bring other
// instances up to date without a whole snapshot.
class routing_change_log
{
public:
    // Number of changes kept; older ones are dropped.
    static constexpr std::size_t max_changes = 500;

    // Drops all changes; the log starts at the state of this revision.
    void reset(std::uint64_t revision);
    void append(std::uint64_t revision, upstream_change change);
    void append(std::uint64_t revision, evacuation_change change);
    // Returns the changes after `revision`, without setting the revision and
    // the routes of the result.
    routing_changes since(std::uint64_t revision) const;

private:
    struct entry
    {
        std::uint64_t revision = 0;
        std::variant<upstream_change, evacuation_change> change;
    };

    void append(entry next);

    // The log holds every change after this revision.
    std::uint64_t start_revision = 0;
    std::deque<entry> entries;
};

}

#endif
