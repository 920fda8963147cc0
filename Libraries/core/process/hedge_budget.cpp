#include "core/process/hedge_budget.hpp"

#include <algorithm>
#include <cmath>

namespace wisteriahatch
{

namespace
{

constexpr std::int64_t millitokens_per_token = 1000;

}

void hedge_budget::earn(double percent)
{
    const std::int64_t earned =
        std::llround(percent / 100 * millitokens_per_token);
    const std::int64_t most = max_tokens * millitokens_per_token;
    std::int64_t held = this->millitokens;
    while (!this->millitokens.compare_exchange_weak(
        held, std::min(held + earned, most)))
    {
    }
}

bool hedge_budget::spend()
{
    std::int64_t held = this->millitokens;
    do
    {
        if (held < millitokens_per_token)
            return false;
    } while (!this->millitokens.compare_exchange_weak(
        held, held - millitokens_per_token));
    return true;
}

}
