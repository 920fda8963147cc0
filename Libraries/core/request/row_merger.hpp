#ifndef WISTERIAHATCH_CORE_REQUEST_ROW_MERGER_HPP
#define WISTERIAHATCH_CORE_REQUEST_ROW_MERGER_HPP

#include "core/request/row.hpp"

#include <cstddef>
#include <vector>

namespace wisteriahatch
{

// Collects the rows of at most one reply per shard. A shard is identified by
// its index in the shard map.
class row_merger
{
public:
    void clear();
    void set_shard_count(std::size_t shards);
    // Adds the rows of a shard. Returns false and changes nothing if rows of
    // this shard were added before.
    bool add(std::size_t shard, std::vector<row> rows);
    bool contains(std::size_t shard) const;
    // Removes and returns all rows, sorted by key, then by value.
    std::vector<row> take();

private:
    std::vector<bool> added;
    std::vector<row> collected;
};

}

#endif
