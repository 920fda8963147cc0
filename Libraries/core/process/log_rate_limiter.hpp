#ifndef WISTERIAHATCH_CORE_PROCESS_LOG_RATE_LIMITER_HPP
#define WISTERIAHATCH_CORE_PROCESS_LOG_RATE_LIMITER_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace wisteriahatch
{

// Limits the log lines of one kind: up to `max_lines_per_interval` are admitted
// in each interval; the others are dropped and counted.
class log_rate_limiter
{
public:
    static constexpr std::chrono::seconds interval{1};

    explicit log_rate_limiter(unsigned max_lines_per_interval);

    // Returns the number of lines dropped since the last admitted one, or
    // nothing when this line is to be dropped as well.
    std::optional<std::uint64_t> admit(time_point now);

private:
    unsigned max_lines;
    time_point interval_start{};
    unsigned admitted = 0;
    std::uint64_t dropped = 0;
};

}

#endif
