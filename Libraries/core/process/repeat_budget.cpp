#include "core/process/repeat_budget.hpp"

#include <algorithm>

namespace wisteriahatch
{

namespace
{

// Absorbs the rounding of floating-point numbers: ten tenths of a repeat are
// 0.9999999999999999.
constexpr double repeat_tolerance = 1e-9;

}

repeat_budget::repeat_budget(const repeat_allowance& allowance)
    : limits(allowance)
{
}

void repeat_budget::set_allowance(const repeat_allowance& allowance)
{
    this->limits = allowance;
}

void repeat_budget::earn(time_point now)
{
    ++this->current_slot(now).requests;
}

bool repeat_budget::spend(time_point now, double kept)
{
    if (this->left(now) + repeat_tolerance < 1 + kept)
        return false;
    ++this->current_slot(now).repeats;
    return true;
}

double repeat_budget::left(time_point now) const
{
    const auto newest = this->slot_number(now);
    constexpr auto window = static_cast<std::int64_t>(slots_per_window);
    double earned = 0;
    double spent = 0;
    for (const auto& each : this->slots)
    {
        if (each.number > newest - window)
            earned += each.requests;
        if (each.number >= newest - window)
            spent += each.repeats;
    }
    return this->limits.reserve + earned * this->limits.ratio - spent;
}

std::int64_t repeat_budget::slot_number(time_point now) const
{
    const auto slot_time =
        std::max<duration>(this->limits.window / slots_per_window, duration(1));
    return now.time_since_epoch() / slot_time;
}

repeat_budget::slot& repeat_budget::current_slot(time_point now)
{
    const auto number = this->slot_number(now);
    auto& current =
        this->slots.at(static_cast<std::size_t>(number) % this->slots.size());
    if (current.number != number)
        current = {.number = number};
    return current;
}

}
