#include "pause_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace wisteriahatch
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{100};

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

// Returns the time since the host was booted, including suspends.
duration boot_time()
{
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return std::chrono::seconds(value.tv_sec) +
           std::chrono::nanoseconds(value.tv_nsec);
}

}

pause_monitor::pause_monitor(boost::asio::io_context& worker, handler chosen)
    : timer(worker)
    , handle(std::move(chosen))
    , pauses(clock_now())
    , last_tick(clock_now())
    , last_boot_time(boot_time())
{
}

void pause_monitor::start()
{
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (failure)
                return;
            this->tick();
            this->start();
        });
}

void pause_monitor::tick()
{
    const auto now = clock_now();
    const auto boot = boot_time();
    const auto steady_elapsed = now - this->last_tick;
    const auto elapsed = std::max(boot - this->last_boot_time, steady_elapsed);
    this->last_tick = now;
    this->last_boot_time = boot;
    const bool was_stopped = this->pauses.tick(now);
    const bool was_suspended =
        elapsed - steady_elapsed > pause_detector::threshold;
    if (was_stopped || was_suspended)
        this->handle(elapsed);
}

}
