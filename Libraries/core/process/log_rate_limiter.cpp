#include "core/process/log_rate_limiter.hpp"

#include <utility>

namespace wisteriahatch
{

log_rate_limiter::log_rate_limiter(unsigned chosen)
    : most(chosen)
{
}

std::optional<std::uint64_t> log_rate_limiter::admit(time_point now)
{
    if (now - this->window_start >= interval)
    {
        this->window_start = now;
        this->written = 0;
    }
    if (this->written >= this->most)
    {
        ++this->left_out;
        return std::nullopt;
    }
    ++this->written;
    return std::exchange(this->left_out, 0);
}

}
