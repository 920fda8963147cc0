#include "admission_gate.hpp"

#include "clock.hpp"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

}

admission_gate::admission_gate(asio::io_context& worker)
    : worker(&worker)
    , controller(admission_controller::options{})
    , timer(worker)
{
}

asio::awaitable<admission_gate::decision>
admission_gate::enter(unsigned priority, time_point deadline)
{
    const query_id id{this->next_id++};
    auto waiting = std::make_shared<waiter>(
        waiter{asio::steady_timer(*this->worker, time_point::max())});
    this->waiters.emplace(id, waiting);
    this->apply(this->controller.submit(id, priority, deadline, clock_now()));
    while (!waiting->has_decision)
    {
        boost::system::error_code ignored;
        co_await waiting->decided.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return decision{id, waiting->is_admitted};
}

void admission_gate::leave(query_id id, admission_outcome outcome,
                           duration latency)
{
    this->apply(this->controller.finish(id, outcome, latency, clock_now()));
}

void admission_gate::apply(const admission_controller::actions& actions)
{
    for (const auto id : actions.start)
        this->decide(id, true);
    for (const auto id : actions.refused)
        this->decide(id, false);
    this->arm_timer();
}

void admission_gate::decide(query_id id, bool is_admitted)
{
    const auto found = this->waiters.find(id);
    if (found == this->waiters.end())
        return;
    found->second->has_decision = true;
    found->second->is_admitted = is_admitted;
    found->second->decided.cancel();
    this->waiters.erase(found);
}

void admission_gate::arm_timer()
{
    const auto next = this->controller.next_expiry();
    if (!next || this->timer.expiry() == *next)
        return;
    this->timer.expires_at(*next);
    this->timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (failure)
                return;
            // Allows arm_timer to set the same expiry again.
            this->timer.expires_at(time_point::max());
            this->apply(this->controller.expire(clock_now()));
        });
}

}
