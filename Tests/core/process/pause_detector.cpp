#include "core/process/pause_detector.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against work that continues after a pause as if no time had passed,
// and against late ticks that are mistaken for pauses.
TEST_CASE("a pause is detected at the next event and reported while settling")
{
    struct row
    {
        // Times of the ticks and of the query, in ms after the start.
        std::vector<int> ticks;
        int queried;
        bool was_recently_paused;
        int pauses;
    };
    const row rows[] = {
        {{}, 500, false, 0},
        {{}, 501, true, 0},
        {{500, 1000}, 1500, false, 0},
        {{501}, 501, true, 1},
        {{501}, 700, true, 1},
        {{501, 690}, 701, false, 1},
        // A second thread that read the clock before the pause.
        {{600, 40}, 799, true, 1},
        {{600, 600}, 800, false, 1},
        {{600, 1200}, 1399, true, 2},
    };
    const time_point start{1h};
    for (const auto& row : rows)
    {
        CAPTURE(row.queried);
        pause_detector detector(start);
        int pauses = 0;
        for (const auto tick : row.ticks)
            pauses += detector.tick(start + std::chrono::milliseconds(tick));
        CHECK(detector.was_recently_paused(
                  start + std::chrono::milliseconds(row.queried)) ==
              row.was_recently_paused);
        CHECK(pauses == row.pauses);
    }
}

// Guards against a pause that two threads handle, or that a thread misses
// because another has just ticked; run under ThreadSanitizer.
TEST_CASE("one of many threads ends a pause and all of them detect it")
{
    const time_point start{1h};
    for (int repeat = 0; repeat < 50; ++repeat)
    {
        pause_detector detector(start);
        std::atomic<int> ended = 0;
        std::atomic<int> missed = 0;
        std::vector<std::thread> threads;
        for (int index = 0; index < 4; ++index)
            threads.emplace_back(
                [&, index]
                {
                    const auto now =
                        start + 600ms + std::chrono::milliseconds(index);
                    missed += !detector.was_recently_paused(now);
                    ended += detector.tick(now);
                    missed += !detector.was_recently_paused(now);
                });
        for (auto& thread : threads)
            thread.join();
        CHECK(ended == 1);
        CHECK(missed == 0);
    }
}
