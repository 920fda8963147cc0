#include "core/process/hedge_budget.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace wisteriahatch;

// Guards against extra load above the configured percentage, and against a
// quiet period that saves up tokens for a burst.
TEST_CASE("the budget allows the configured percentage of first attempts")
{
    struct scenario
    {
        double percent;
        unsigned earned, hedges;
    };
    for (const auto& [percent, earned, hedges] :
         {scenario{5, 19, 0}, scenario{5, 20, 1}, scenario{0, 1000, 0},
          scenario{50, 10, 5}, scenario{100, 1000, 10}})
    {
        hedge_budget budget;
        for (unsigned attempt = 0; attempt < earned; ++attempt)
            budget.earn(percent);
        unsigned spent = 0;
        while (budget.spend())
            ++spent;
        CHECK(spent == hedges);
    }
}

// Guards against a token that is spent by two threads.
TEST_CASE("concurrent threads never spend more than was earned")
{
    hedge_budget budget;
    std::atomic<unsigned> spent{0};
    std::vector<std::jthread> threads;
    for (int thread = 0; thread < 3; ++thread)
        threads.emplace_back(
            [&]
            {
                for (int attempt = 0; attempt < 10000; ++attempt)
                {
                    budget.earn(10);
                    spent += budget.spend() ? 1 : 0;
                }
            });
    threads.clear();
    CHECK(spent <= 3000);
    CHECK(spent >= 3000 - hedge_budget::default_max_tokens);
}
