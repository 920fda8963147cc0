#ifndef WISTERIAHATCH_CORE_PROCESS_HEDGE_BUDGET_HPP
#define WISTERIAHATCH_CORE_PROCESS_HEDGE_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace wisteriahatch
{

// Token bucket that limits extra sub-requests, such as hedges. Each first
// attempt earns a fraction of a token; each extra sub-request spends one.
// Thread-safe.
class hedge_budget
{
public:
    // Keeps a quiet period from saving up tokens for a burst of extra load.
    static constexpr unsigned default_max_tokens = 10;

    hedge_budget() = default;
    // Starts empty, with `max_tokens` as the maximum.
    explicit hedge_budget(double max_tokens);

    // Changes the maximum that can be saved up; tokens above it are dropped.
    void set_max_tokens(double max_tokens);
    // Raises the tokens to the maximum.
    void fill();
    // Earns `percent`/100 of a token for one first attempt.
    void earn(double percent);
    // Spends one token; returns false when less than one is left.
    bool spend();
    // Whole tokens left.
    unsigned tokens() const;

private:
    std::atomic<std::int64_t> max_millitokens{std::int64_t{default_max_tokens} *
                                              1000};
    std::atomic<std::int64_t> millitokens{0};
};

}

#endif
