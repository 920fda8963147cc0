#ifndef WISTERIAHATCH_STANDINS_UPSTREAM_ROWS_HPP
#define WISTERIAHATCH_STANDINS_UPSTREAM_ROWS_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriahatch
{

// Returns the rows (key, value) that every replica of a shard returns for a
// query. They depend on the arguments only, so that a client can compute the
// complete answer by itself. There are 2 to 5 rows. A key starts with hash
// digits, so that the rows of several shards interleave when sorted; the value
// names the shard and the version.
std::vector<std::pair<std::string, std::string>>
make_rows(const std::string& service, const std::string& shard,
          std::uint64_t version, const std::string& query);

}

#endif
