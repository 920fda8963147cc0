#ifndef WISTERIAHATCH_ENTRY_CLOCK_HPP
#define WISTERIAHATCH_ENTRY_CLOCK_HPP

#include "core/base/time.hpp"

namespace wisteriahatch
{

// The monotonic clock that gives every event of this process its time.
inline time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

}

#endif
