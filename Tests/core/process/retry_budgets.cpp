#include "core/process/retry_budgets.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace wisteriahatch;

// Guards against instances that together exceed a service's limit of repeats in
// some window. Requests arrive at random instances, and each instance repeats
// whenever its budget allows.
TEST_CASE("the repeats of all instances stay within ratio and slack")
{
    constexpr unsigned instances = 14;
    constexpr unsigned steps = 4000;
    constexpr unsigned window = 500;
    constexpr double ratio = 0.18;
    constexpr unsigned reserve = 4;
    constexpr unsigned slack = instances * reserve;
    std::mt19937_64 random(11);
    std::deque<retry_budgets> fleet;
    for (unsigned each = 0; each < instances; ++each)
        fleet.emplace_back(
            retry_budgets::options{.ratio = ratio, .reserve = reserve});
    std::vector<unsigned> requests(steps);
    std::vector<unsigned> repeats(steps);
    for (unsigned step = 0; step < steps; ++step)
    {
        // A quiet phase saves up tokens that a busy one then spends.
        const bool is_busy = step / 300 % 2 == 1;
        requests[step] = 3;
        for (unsigned each = 0; each < requests[step]; ++each)
            fleet[random() % instances].earn("s");
        for (auto& instance : fleet)
            while (is_busy && instance.spend("s"))
                ++repeats[step];
    }
    for (unsigned from = 0; from + window <= steps; ++from)
    {
        double requested = 0;
        unsigned sent = 0;
        for (unsigned step = from; step < from + window; ++step)
        {
            requested += requests[step];
            sent += repeats[step];
        }
        REQUIRE(sent <= ratio * requested + slack);
    }
}

// Guards against repeats to one service that spend another service's tokens.
TEST_CASE("each service has its own budget")
{
    retry_budgets budgets({.ratio = 0.5, .reserve = 1});
    CHECK(budgets.spend("a"));
    CHECK_FALSE(budgets.spend("a"));
    CHECK(budgets.spend("b"));
    budgets.earn("a");
    budgets.earn("a");
    CHECK(budgets.spend("a"));
    CHECK_FALSE(budgets.spend("b"));
}

// Guards against a token metric that disagrees with what spend() allows.
TEST_CASE("tokens() is the number of repeats that may be sent")
{
    retry_budgets budgets({.ratio = 0.5, .reserve = 2});
    CHECK(budgets.by_service().empty());
    budgets.earn("s");
    for (unsigned left = 2; left > 0; --left)
    {
        CHECK(budgets.by_service().at("s").tokens() == left);
        CHECK(budgets.spend("s"));
    }
    CHECK(budgets.by_service().at("s").tokens() == 0);
    CHECK_FALSE(budgets.spend("s"));
    // Half a token doesn't count.
    budgets.earn("s");
    CHECK(budgets.by_service().at("s").tokens() == 0);
}
