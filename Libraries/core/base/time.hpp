#ifndef WISTERIAHATCH_CORE_BASE_TIME_HPP
#define WISTERIAHATCH_CORE_BASE_TIME_HPP

#include <chrono>

namespace wisteriahatch
{

// Monotonic time of the process. The core library never reads the clock; the
// current time is passed in with every event.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

}

#endif
