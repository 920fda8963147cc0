#include "core/request/row_merger.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriahatch
{

void row_merger::clear()
{
    this->added.clear();
    this->collected.clear();
}

void row_merger::set_shard_count(std::size_t shards)
{
    this->added.resize(shards);
}

bool row_merger::add(std::size_t shard, std::vector<row> rows)
{
    if (this->added[shard])
        return false;
    this->added[shard] = true;
    this->collected.insert(this->collected.end(),
                           std::make_move_iterator(rows.begin()),
                           std::make_move_iterator(rows.end()));
    return true;
}

bool row_merger::contains(std::size_t shard) const
{
    return this->added[shard];
}

std::vector<row> row_merger::take()
{
    std::ranges::sort(this->collected);
    return std::exchange(this->collected, {});
}

}
