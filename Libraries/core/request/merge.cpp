#include "core/request/merge.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriahatch
{

void merge::clear()
{
    this->added.clear();
    this->collected.clear();
}

void merge::set_shard_count(std::size_t shards)
{
    this->added.resize(shards);
}

bool merge::add(std::size_t shard, std::vector<row> rows)
{
    if (this->added[shard])
        return false;
    this->added[shard] = true;
    this->collected.insert(this->collected.end(),
                           std::make_move_iterator(rows.begin()),
                           std::make_move_iterator(rows.end()));
    return true;
}

bool merge::contains(std::size_t shard) const
{
    return this->added[shard];
}

std::vector<row> merge::take()
{
    std::ranges::sort(this->collected);
    return std::exchange(this->collected, {});
}

}
