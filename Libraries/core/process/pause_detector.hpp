#ifndef WISTERIAHATCH_CORE_PROCESS_PAUSE_DETECTOR_HPP
#define WISTERIAHATCH_CORE_PROCESS_PAUSE_DETECTOR_HPP

#include "core/base/time.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace wisteriahatch
{

// Detects pauses of the whole process by gaps between regular ticks. Every
// method may be called from any thread.
class pause_detector
{
public:
    // A tick is due every 50 ms; ten missed ticks are taken as a pause.
    static constexpr std::chrono::milliseconds threshold{500};
    // Time after the tick that ends a pause in which requests still arrive
    // that waited in socket buffers.
    static constexpr std::chrono::milliseconds settling_time{200};

    explicit pause_detector(time_point now);

    // Records that the process is running. Returns true for the one call that
    // ends a pause; its caller must cancel queued work and refresh membership
    // and the document.
    bool tick(time_point now);
    // Returns true if no tick was recorded for longer than the threshold, or if
    // a pause ended less than the settling time ago.
    bool was_recently_paused(time_point now) const;

private:
    static std::int64_t ticks_of(time_point now);

    std::atomic<std::int64_t> last_tick;
    // End of the settling time after the last pause.
    std::atomic<std::int64_t> settled_at;
};

}

#endif
