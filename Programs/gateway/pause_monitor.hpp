#ifndef WISTERIAHATCH_GATEWAY_PAUSE_WATCH_HPP
#define WISTERIAHATCH_GATEWAY_PAUSE_WATCH_HPP

#include "core/process/pause_detector.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace wisteriahatch
{

// Detects that the process was paused: stopped (the steady clock advanced) or
// suspended with its host (only the boot clock advanced). Runs on the worker.
class pause_monitor
{
public:
    // Called after a pause has ended, with its length.
    using handler = std::function<void(duration length)>;

    pause_monitor(boost::asio::io_context& worker, handler handle);

    void start();

private:
    void tick();

    boost::asio::steady_timer timer;
    handler handle;
    pause_detector pauses;
    time_point last_tick;
    duration last_boot_time{0};
};

}

#endif
