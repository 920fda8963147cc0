#ifndef WISTERIAHATCH_CORE_PROCESS_HEDGE_BUDGET_HPP
#define WISTERIAHATCH_CORE_PROCESS_HEDGE_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace wisteriahatch
{

// Token bucket that bounds extra sub-requests. Each first attempt earns a
// fraction of a token; each extra sub-request spends one. Thread-safe.
class hedge_budget
{
public:
    // Tokens that can be saved up, so that a quiet period can't pay for a
    // burst of extra load.
    static constexpr unsigned default_max_tokens = 10;

    hedge_budget() = default;
    // Holds `tokens` from the start, and at most.
    explicit hedge_budget(unsigned tokens);

    // Changes the most that can be saved up; tokens beyond it are lost.
    void set_max_tokens(unsigned tokens);
    // Earns `percent`/100 of a token for one first attempt.
    void earn(double percent);
    // Spends one token; returns false when less than one is left.
    bool spend();
    // Whole tokens that are left.
    unsigned tokens() const;

private:
    std::atomic<std::int64_t> most{std::int64_t{default_max_tokens} * 1000};
    // In thousandths of a token, as is `most`.
    std::atomic<std::int64_t> millitokens{0};
};

}

#endif
