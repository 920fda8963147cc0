#include "core/process/hedge_budget.hpp"

#include <algorithm>
#include <cmath>

namespace wisteriahatch
{

namespace
{

constexpr std::int64_t millitokens_per_token = 1000;

}

hedge_budget::hedge_budget(unsigned tokens)
    : most(tokens * millitokens_per_token)
    , millitokens(this->most.load())
{
}

void hedge_budget::set_max_tokens(unsigned tokens)
{
    const std::int64_t limit = tokens * millitokens_per_token;
    this->most = limit;
    std::int64_t held = this->millitokens;
    while (held > limit &&
           !this->millitokens.compare_exchange_weak(held, limit))
    {
    }
}

void hedge_budget::earn(double percent)
{
    const std::int64_t earned =
        std::llround(percent / 100 * millitokens_per_token);
    std::int64_t held = this->millitokens;
    while (!this->millitokens.compare_exchange_weak(
        held, std::min(held + earned, this->most.load())))
    {
    }
}

unsigned hedge_budget::tokens() const
{
    return static_cast<unsigned>(this->millitokens / millitokens_per_token);
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
