#ifndef WISTERIAHATCH_CORE_PROCESS_VERSION_LAG_HPP
#define WISTERIAHATCH_CORE_PROCESS_VERSION_LAG_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace wisteriahatch
{

// Finds out whether this instance misses a version of the routes that another
// one has. The source brings new versions to all instances within a second;
// only one that was restored, or is read by a partitioned instance, does not.
// Does no I/O and reads no clock.
class version_lag
{
public:
    // How long another instance may be ahead. A new version has to take effect
    // within three seconds.
    static constexpr std::chrono::milliseconds max_lag{1500};

    // Records the version of this instance and of another one. Returns whether
    // others have been ahead for too long.
    bool update(std::uint64_t own, std::uint64_t theirs, time_point now);

private:
    std::uint64_t own_version = 0;
    // Since when another instance is known to have a newer version.
    std::optional<time_point> behind_since;
};

}

#endif
