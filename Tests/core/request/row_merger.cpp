#include "core/request/row_merger.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against unsorted rows, lost duplicates, and merging a second reply of
// the same shard.
TEST_CASE("rows are sorted and each shard is added once")
{
    row_merger rows;
    rows.set_shard_count(2);
    CHECK(rows.add(1, {{"b", "2"}, {"a", "9"}, {"b", "1"}}));
    CHECK_FALSE(rows.add(1, {{"c", "1"}}));
    CHECK_FALSE(rows.contains(0));
    CHECK(rows.add(0, {{"b", "1"}}));
    CHECK(rows.take() ==
          std::vector<row>{{"a", "9"}, {"b", "1"}, {"b", "1"}, {"b", "2"}});
    rows.clear();
    rows.set_shard_count(1);
    CHECK_FALSE(rows.contains(0));
    CHECK(rows.take().empty());
}
