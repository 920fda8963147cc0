#include "core/process/log_rate_limiter.hpp"

#include <utility>

namespace wisteriahatch
{

log_rate_limiter::log_rate_limiter(unsigned max_lines_per_interval)
    : max_lines(max_lines_per_interval)
{
}

std::optional<std::uint64_t> log_rate_limiter::admit(time_point now)
{
    if (now - this->interval_start >= interval)
    {
        this->interval_start = now;
        this->admitted = 0;
    }
    if (this->admitted >= this->max_lines)
    {
        ++this->dropped;
        return std::nullopt;
    }
    ++this->admitted;
    return std::exchange(this->dropped, 0);
}

}
