#ifndef WISTERIAHATCH_CORE_BASE_TIME_HPP
#define WISTERIAHATCH_CORE_BASE_TIME_HPP

#include <chrono>

namespace wisteriahatch
{

// Monotonic time of one process. The core library never reads the clock:
// every event carries its time.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

}

#endif
