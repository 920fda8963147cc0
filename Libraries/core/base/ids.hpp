#ifndef WISTERIAHATCH_CORE_BASE_IDS_HPP
#define WISTERIAHATCH_CORE_BASE_IDS_HPP

#include <compare>
#include <cstdint>

namespace wisteriahatch
{

// An integer type that can't be confused with the id of another kind.
template <class Tag>
struct strong_id
{
    std::uint64_t value = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
};

// Version of a service's index, as in the document. Higher is newer.
using index_version = strong_id<struct index_version_tag>;

// Number of a sub-request within its query, starting at 1.
using attempt_id = strong_id<struct attempt_id_tag>;

// 64 random bits generated when a process starts. They distinguish a restarted
// instance from the earlier one at the same address.
using incarnation = strong_id<struct incarnation_tag>;

}

#endif
