#ifndef WISTERIAHATCH_CORE_PROCESS_PAUSE_DETECTOR_HPP
#define WISTERIAHATCH_CORE_PROCESS_PAUSE_DETECTOR_HPP

#include "core/base/time.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace wisteriahatch
{

// Detects that the whole process stood still, from the gap between regular
// ticks. Every method may be called from any thread.
class pause_detector
{
public:
    // A tick is due every 50 ms; ten missed ticks are taken as a pause.
    static constexpr std::chrono::milliseconds threshold{500};
    // Time after the first tick during which requests that waited in socket
    // buffers still arrive.
    static constexpr std::chrono::milliseconds settling_time{200};

    explicit pause_detector(time_point now);

    // Records that the process runs. Returns true for the one call that ends
    // a pause; its caller seals queued work and has the views refreshed.
    bool tick(time_point now);
    // True when no tick was recorded for longer than the threshold, and for
    // the settling time after a pause.
    bool was_recently_paused(time_point now) const;

private:
    static std::int64_t ticks_of(time_point now);

    std::atomic<std::int64_t> last_tick;
    std::atomic<std::int64_t> settled_at;
};

}

#endif
