#include "core/process/log_rate_limiter.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against a log that grows with the load, and against lines that are
// dropped without being reported.
TEST_CASE("dropped lines are counted and reported with the next line")
{
    log_rate_limiter limiter(2);
    const time_point start = time_point{} + 1h;
    CHECK(limiter.admit(start) == 0);
    CHECK(limiter.admit(start + 1ms) == 0);
    CHECK_FALSE(limiter.admit(start + 2ms));
    CHECK_FALSE(limiter.admit(start + 999ms));
    CHECK(limiter.admit(start + 1s) == 2);
    CHECK(limiter.admit(start + 1s) == 0);
    CHECK_FALSE(limiter.admit(start + 1500ms));
}
