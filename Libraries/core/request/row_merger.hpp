#ifndef WISTERIAHATCH_CORE_REQUEST_ROW_MERGER_HPP
#define WISTERIAHATCH_CORE_REQUEST_ROW_MERGER_HPP

#include "core/request/row.hpp"

#include <cstddef>
#include <vector>

namespace wisteriahatch
{

// The rows received so far, at most one reply a shard. Shards are named by
// their index in the shard map.
class row_merger
{
public:
    // Drops all rows.
    void clear();
    // Sets the number of shards in the map.
    void set_shard_count(std::size_t shards);
    // Adds a shard's rows. Returns false and changes nothing when the shard's
    // rows were added before.
    bool add(std::size_t shard, std::vector<row> rows);
    bool contains(std::size_t shard) const;
    // Moves all rows out, sorted by key, then by value.
    std::vector<row> take();

private:
    std::vector<bool> added;
    std::vector<row> collected;
};

}

#endif
