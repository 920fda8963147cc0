#ifndef WISTERIAHATCH_CORE_PROCESS_REPEAT_BUDGET_HPP
#define WISTERIAHATCH_CORE_PROCESS_REPEAT_BUDGET_HPP

#include "core/base/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriahatch
{

// What one instance may repeat at a service in any window of time.
struct repeat_allowance
{
    // Repeats for each request of the window.
    double ratio = 0.1;
    // Repeats beyond the ratio.
    double reserve = 2;
    duration window = std::chrono::seconds(10);
};

// Limits the repeats (retries and hedges) of one instance to one service to an
// allowance in every window of time. Requests count for a whole window: unlike
// in a token bucket, what a quiet service has earned is still there when many
// answers are lost at once. Does no I/O and reads no clock. Not thread-safe.
class repeat_budget
{
public:
    explicit repeat_budget(const repeat_allowance& allowance);

    void set_allowance(const repeat_allowance& allowance);
    // Records a request to the service, which earns a part of a repeat.
    void earn(time_point now);
    // Records a repeat if at least `kept` repeats are left after it; returns
    // whether it did.
    bool spend(time_point now, double kept = 0);
    // Repeats that are left.
    double left(time_point now) const;

private:
    // Slots into which the window is divided. A repeat counts until its slot
    // has left the window completely, a request only while its slot is
    // completely inside, so that both errors are on the safe side.
    static constexpr std::size_t slots_per_window = 10;

    struct slot
    {
        // Slot times since the epoch of time_point.
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    std::int64_t slot_number(time_point now) const;
    slot& current_slot(time_point now);

    repeat_allowance limits;
    std::array<slot, slots_per_window + 1> slots;
};

}

#endif
