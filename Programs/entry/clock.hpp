#ifndef WISTERIAHATCH_ENTRY_CLOCK_HPP
#define WISTERIAHATCH_ENTRY_CLOCK_HPP

#include "core/base/time.hpp"

namespace wisteriahatch
{

// Returns the time of the monotonic clock that all events of this process use.
inline time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

}

#endif
