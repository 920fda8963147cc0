#include "core/connection/reply_memory.hpp"

#include <algorithm>
#include <utility>

namespace wisteriahatch
{

reply_memory::reservation::reservation(reply_memory& owner,
                                       std::function<void()> on_give_up)
    : memory(&owner)
    , handle_give_up(std::move(on_give_up))
{
    this->memory->active.insert(this);
}

reply_memory::reservation::~reservation()
{
    this->memory->active.erase(this);
    this->memory->total -= this->size;
}

void reply_memory::reservation::resize(std::size_t bytes)
{
    if (this->has_been_given_up)
        return;
    this->memory->total += bytes - this->size;
    this->size = bytes;
    this->memory->enforce_limit(*this);
}

bool reply_memory::reservation::is_given_up() const
{
    return this->has_been_given_up;
}

reply_memory::reply_memory(std::size_t max_bytes)
    : limit(max_bytes)
{
}

std::size_t reply_memory::held_bytes() const
{
    return this->total;
}

void reply_memory::enforce_limit(const reservation& grown)
{
    while (this->total > this->limit)
    {
        auto* largest =
            *std::ranges::max_element(this->active, {}, &reservation::size);
        this->active.erase(largest);
        this->total -= std::exchange(largest->size, 0);
        largest->has_been_given_up = true;
        if (largest != &grown)
            largest->handle_give_up();
    }
}

}
