#include "core/process/latency_window.hpp"
#include "core/process/service_state.hpp"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace wisteriahatch;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const time_point start{seconds(1000)};
constexpr milliseconds fallback{77};

}

// Guards against hedging by a quantile that is wrong by more than a bin or is
// computed from too few latencies.
TEST_CASE("quantiles are within a bin of the recorded latencies")
{
    latency_window window;
    for (int number = 1; number < 50; ++number)
        window.record(milliseconds(number), start);
    CHECK(window.quantile(0.5, fallback) == fallback);
    for (int number = 50; number <= 100; ++number)
        window.record(milliseconds(number), start);
    for (const int percent : {1, 50, 95, 100})
    {
        const auto found = window.quantile(percent / 100.0, fallback);
        CHECK(found >= milliseconds(percent));
        CHECK(found < microseconds(percent * 1060));
    }
    // Latencies outside the axis are counted at its ends.
    for (int number = 0; number < 1000; ++number)
        window.record(seconds(number % 2 * 1000), start);
    CHECK(window.quantile(0.1, fallback) <= milliseconds(1));
    CHECK(window.quantile(0.99, fallback) >= seconds(99));
}

// Guards against a quantile that includes old latencies indefinitely, and
// against one that loses all latencies when the window changes.
TEST_CASE("latencies expire after two windows")
{
    latency_window window;
    const auto record = [&](milliseconds latency, int count, seconds after)
    {
        for (int number = 0; number < count; ++number)
            window.record(latency, start + after);
        return window.quantile(0.5, fallback);
    };
    CHECK(record(milliseconds(100), 1000, seconds(0)) >= milliseconds(100));
    CHECK(record(milliseconds(1), 60, seconds(5)) >= milliseconds(100));
    CHECK(record(milliseconds(1), 60, seconds(10)) <= milliseconds(2));
    CHECK(record(milliseconds(9), 49, seconds(100)) == fallback);
}

// Guards against data races between recording and reading (ThreadSanitizer) and
// against lost counts within a window.
TEST_CASE("threads record into one window")
{
    latency_window window;
    std::vector<std::jthread> threads;
    for (int thread = 0; thread < 3; ++thread)
        threads.emplace_back(
            [&]
            {
                for (int number = 0; number < 2000; ++number)
                {
                    window.record(milliseconds(10),
                                  start + milliseconds(number * 5));
                    window.quantile(0.95, fallback);
                }
            });
    threads.clear();
    const auto found = window.quantile(0.95, fallback);
    CHECK(found >= milliseconds(10));
    CHECK(found < milliseconds(11));
}

// Guards against hedging without a delay, and against a trigger that ignores
// the settings.
TEST_CASE("the hedge delay follows the trigger")
{
    struct scenario
    {
        std::string trigger;
        microseconds latency;
        duration shortest, longest;
    };
    const scenario scenarios[] = {
        {"never", milliseconds(9), duration::max(), duration::max()},
        {"fixed", milliseconds(9), milliseconds(30), milliseconds(30)},
        {"quantile", milliseconds(9), milliseconds(9), milliseconds(10)},
        {"quantile", microseconds(300), milliseconds(2), milliseconds(2)}};
    for (const auto& entry : scenarios)
    {
        service_state state({.selector = "unknown",
                             .hedge_trigger = entry.trigger,
                             .fixed_hedge_delay = milliseconds(30)});
        if (entry.trigger == "quantile")
            CHECK(state.hedge_delay(start) == milliseconds(30));
        for (int number = 0; number < 100; ++number)
            state.latencies().record(entry.latency, start);
        CHECK(state.hedge_delay(start) >= entry.shortest);
        CHECK(state.hedge_delay(start) <= entry.longest);
    }
}
