#ifndef WISTERIAHATCH_CORE_PROCESS_SOURCE_POSITION_HPP
#define WISTERIAHATCH_CORE_PROCESS_SOURCE_POSITION_HPP

#include <compare>
#include <cstdint>

namespace wisteriahatch
{

// A state of the configuration source. A later state compares greater.
struct source_position
{
    // Rises each time the source was restored from an older copy. Revisions are
    // given out again then, so that those of two epochs can't be compared. 0
    // when the source states none.
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;

    // clang-tidy 14 reports a null pointer in a defaulted <=>.
    friend auto operator<=>(const source_position&,
                            // NOLINTNEXTLINE(modernize-use-nullptr)
                            const source_position&) = default;
};

// How current the routing of an instance is. Routes have an order of their own:
// their version never decreases, not even when the source was restored.
struct routing_position
{
    source_position source;
    // Version of the routes; 0 when none are known.
    std::uint64_t version = 0;

    friend bool operator==(const routing_position&,
                           const routing_position&) = default;
};

}

#endif
