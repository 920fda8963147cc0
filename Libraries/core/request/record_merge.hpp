#ifndef WISTERIAHATCH_CORE_REQUEST_RECORD_MERGE_HPP
#define WISTERIAHATCH_CORE_REQUEST_RECORD_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Length of a record in the parts of a scattered answer.
inline constexpr std::size_t record_bytes = 16;

// Returns the `count` greatest records of all parts, greatest first, compared
// byte by byte. Equal records all count. A remainder of a part that is shorter
// than a record is left out.
std::string merge_top_records(std::span<const std::string_view> parts,
                              std::size_t count);

}

#endif
