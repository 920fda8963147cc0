#include "StandIns/platform/published_value.hpp"

#include "net/store_error.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace wisteriahatch
{

published_value::published_value(boost::asio::io_context& own_worker)
    : worker(own_worker)
{
}

void published_value::put(std::string bytes)
{
    if (this->lag == std::chrono::milliseconds(0))
        this->publish(std::move(bytes));
    else
        boost::asio::co_spawn(this->worker,
                              this->publish_after_lag(std::move(bytes)),
                              boost::asio::detached);
}

boost::asio::awaitable<published_value::revision>
published_value::read(std::uint64_t after, std::chrono::milliseconds max_wait)
{
    ++this->reads;
    const auto end = std::chrono::steady_clock::now() + max_wait;
    boost::asio::steady_timer timer(this->worker, end);
    const auto position = this->readers.insert(this->readers.end(), &timer);
    this->max_waiting =
        std::max<std::uint64_t>(this->max_waiting, this->readers.size());
    boost::system::error_code ignored;
    while (!this->down && this->visible().number == after &&
           std::chrono::steady_clock::now() < end)
    {
        timer.expires_at(end);
        co_await timer.async_wait(store_error(ignored));
    }
    this->readers.erase(position);
    co_return this->visible();
}

void published_value::set_lag(std::chrono::milliseconds value)
{
    this->lag = value;
}

void published_value::set_stale(bool value)
{
    this->is_stale = value;
    const auto last = this->history.size() - 1;
    this->stale_index = last > 1 ? last - 1 : last;
    this->wake_readers();
}

void published_value::set_down(bool value)
{
    this->down = value;
    this->wake_readers();
}

bool published_value::is_down() const
{
    return this->down;
}

boost::json::object published_value::counters() const
{
    return {{"reads", this->reads},
            {"revision", this->visible().number},
            {"waiting", this->readers.size()},
            {"waiting_max", this->max_waiting}};
}

const published_value::revision& published_value::visible() const
{
    return this->is_stale ? this->history[this->stale_index]
                          : this->history.back();
}

void published_value::wake_readers()
{
    for (auto* timer : this->readers)
        timer->cancel();
}

boost::asio::awaitable<void>
published_value::publish_after_lag(std::string bytes)
{
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(this->worker, this->lag);
    co_await timer.async_wait(store_error(ignored));
    this->publish(std::move(bytes));
}

void published_value::publish(std::string bytes)
{
    this->history.push_back(
        revision{this->history.back().number + 1, std::move(bytes)});
    this->wake_readers();
}

}
