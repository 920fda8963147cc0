#include "core/process/line_budget.hpp"

#include <utility>

namespace wisteriahatch
{

line_budget::line_budget(unsigned chosen)
    : most(chosen)
{
}

std::optional<std::uint64_t> line_budget::admit(time_point now)
{
    if (now - this->window_start >= window)
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
