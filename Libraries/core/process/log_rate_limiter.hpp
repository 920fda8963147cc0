#ifndef WISTERIAHATCH_CORE_PROCESS_LOG_RATE_LIMITER_HPP
#define WISTERIAHATCH_CORE_PROCESS_LOG_RATE_LIMITER_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace wisteriahatch
{

// Bounds the log lines of one kind: up to `most` in each second are written,
// the others counted.
class log_rate_limiter
{
public:
    static constexpr std::chrono::seconds interval{1};

    explicit log_rate_limiter(unsigned most);

    // Returns nothing when the line is to be left out, else the number of
    // lines left out since the last one that was written.
    std::optional<std::uint64_t> admit(time_point now);

private:
    unsigned most;
    time_point window_start{};
    unsigned written = 0;
    std::uint64_t left_out = 0;
};

}

#endif
