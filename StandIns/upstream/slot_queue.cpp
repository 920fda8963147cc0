#include "StandIns/upstream/slot_queue.hpp"

#include "net/store_error.hpp"

namespace wisteriahatch
{

bool slot_queue::enter(const ticket_ptr& entering, std::size_t slots,
                       std::size_t max_waiting)
{
    if (this->used < slots)
    {
        ++this->used;
        entering->has_slot = true;
        return true;
    }
    if (this->queue.size() >= max_waiting)
        return false;
    this->queue.push_back(entering);
    return true;
}

boost::asio::awaitable<void> slot_queue::wait(ticket_ptr waiting)
{
    boost::system::error_code ignored;
    while (!waiting->has_slot && !waiting->is_cancelled)
    {
        waiting->timer.expires_at(boost::asio::steady_timer::time_point::max());
        co_await waiting->timer.async_wait(store_error(ignored));
    }
}

void slot_queue::leave(const ticket_ptr& leaving, std::size_t slots)
{
    if (!leaving->has_slot)
    {
        this->queue.remove(leaving);
        return;
    }
    leaving->has_slot = false;
    --this->used;
    while (this->used < slots && !this->queue.empty())
    {
        const auto next = this->queue.front();
        this->queue.pop_front();
        next->has_slot = true;
        ++this->used;
        next->timer.cancel();
    }
}

std::size_t slot_queue::busy() const
{
    return this->used;
}

std::size_t slot_queue::waiting() const
{
    return this->queue.size();
}

}
