#ifndef WISTERIAHATCH_GATEWAY_PAUSE_WATCH_HPP
#define WISTERIAHATCH_GATEWAY_PAUSE_WATCH_HPP

#include "core/process/pause_detector.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace wisteriahatch
{

// Tells when the process has stood still: stopped (the steady clock went on)
// or suspended with its machine (only the boot clock went on). Runs on the
// worker.
class pause_watch
{
public:
    // Called with the length of the pause after it has ended.
    using handler = std::function<void(duration length)>;

    pause_watch(boost::asio::io_context& worker, handler handle);

    void start();

private:
    void tick();

    boost::asio::steady_timer timer;
    handler handle;
    pause_detector pauses;
    time_point last_tick;
    duration last_boot{0};
};

}

#endif
