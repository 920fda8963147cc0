#ifndef WISTERIAHATCH_CORE_REQUEST_RECORD_MERGE_HPP
#define WISTERIAHATCH_CORE_REQUEST_RECORD_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Length of a record in the answers to a scattered request.
inline constexpr std::size_t record_bytes = 16;

// Returns the `count` greatest records of all parts in descending order,
// compared byte by byte. Duplicates are kept. Trailing bytes of a part that
// don't fill a record are ignored.
std::string merge_top_records(std::span<const std::string_view> parts,
                              std::size_t count);

// Replaces a part by its `count` greatest records, unless it has fewer, so that
// a part which waits for others holds no more than the merge uses.
void keep_top_records(std::string& part, std::size_t count);

}

#endif
