#include "core/process/log_rate_limiter.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against a log that grows with the load, and against lines that are
// left out without a word.
TEST_CASE("lines beyond the bound are counted and told with the next one")
{
    log_rate_limiter budget(2);
    const time_point start = time_point{} + 1h;
    CHECK(budget.admit(start) == 0);
    CHECK(budget.admit(start + 1ms) == 0);
    CHECK_FALSE(budget.admit(start + 2ms));
    CHECK_FALSE(budget.admit(start + 999ms));
    CHECK(budget.admit(start + 1s) == 2);
    CHECK(budget.admit(start + 1s) == 0);
    CHECK_FALSE(budget.admit(start + 1500ms));
}
