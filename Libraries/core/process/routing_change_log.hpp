#ifndef WISTERIAHATCH_CORE_PROCESS_ROUTING_CHANGE_LOG_HPP
#define WISTERIAHATCH_CORE_PROCESS_ROUTING_CHANGE_LOG_HPP

#include "core/base/error.hpp"
#include "core/process/routing_snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// One upstream that was written or removed.
struct upstream_change
{
    std::string id;
    // Empty for an upstream that was removed or can't be used.
    std::optional<upstream_spec> spec;
};

// What has changed since an earlier revision.
struct routing_changes
{
    std::uint64_t revision = 0;
    // True when it is no longer known what has changed; only a new snapshot
    // helps then.
    bool is_history_lost = false;
    // Null when the routes have not changed.
    route_table_ptr routes;
    // In the order of the changes.
    std::vector<upstream_change> upstreams;
};

// Writes changes as JSON, for another instance, and reads them.
std::string encode_changes(const routing_changes& changes);
result<routing_changes> decode_changes(std::string_view text);

// The latest changes of the upstreams, from which other instances are brought
// up to date without a whole snapshot.
class routing_change_log
{
public:
    // Changes that are kept.
    static constexpr std::size_t max_changes = 500;

    // Forgets all changes; the state at this revision is the new start.
    void reset(std::uint64_t revision);
    void append(std::uint64_t revision, upstream_change change);
    // Returns the changes of the upstreams after `revision`.
    routing_changes since(std::uint64_t revision) const;

private:
    struct entry
    {
        std::uint64_t revision = 0;
        upstream_change change;
    };

    // Changes after this revision are held.
    std::uint64_t start = 0;
    std::deque<entry> entries;
};

}

#endif
