#include "core/process/hedge_budget.hpp"

#include <algorithm>
#include <cmath>

namespace wisteriahatch
{

namespace
{

constexpr std::int64_t millitokens_per_token = 1000;

std::int64_t to_millitokens(double tokens)
{
    return std::llround(tokens * millitokens_per_token);
}

}

hedge_budget::hedge_budget(double max_tokens)
    : max_millitokens(to_millitokens(max_tokens))
{
}

void hedge_budget::fill()
{
    this->millitokens = this->max_millitokens.load();
}

void hedge_budget::set_max_tokens(double max_tokens)
{
    const auto limit = to_millitokens(max_tokens);
    this->max_millitokens = limit;
    std::int64_t current = this->millitokens;
    while (current > limit &&
           !this->millitokens.compare_exchange_weak(current, limit))
    {
    }
}

void hedge_budget::earn(double percent)
{
    const auto earned = to_millitokens(percent / 100);
    std::int64_t current = this->millitokens;
    while (!this->millitokens.compare_exchange_weak(
        current, std::min(current + earned, this->max_millitokens.load())))
    {
    }
}

unsigned hedge_budget::tokens() const
{
    return static_cast<unsigned>(this->millitokens / millitokens_per_token);
}

bool hedge_budget::spend()
{
    std::int64_t current = this->millitokens;
    do
    {
        if (current < millitokens_per_token)
            return false;
    } while (!this->millitokens.compare_exchange_weak(
        current, current - millitokens_per_token));
    return true;
}

}
