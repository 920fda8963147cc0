#include "StandIns/silencer/route.hpp"

#include "net/store_error.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace wisteriahatch
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace
{

constexpr std::size_t buffer_bytes = 16384;

}

// A caller's connection and the connection to the target it is forwarded to.
struct route::connection
{
    explicit connection(asio::io_context& worker)
        : caller(worker)
        , server(worker)
    {
    }

    tcp::socket caller;
    tcp::socket server;
    bool is_silent = false;

    void close()
    {
        error_code ignored;
        this->caller.close(ignored);
        this->server.close(ignored);
    }
};

route::route(asio::io_context& own_worker, tcp::endpoint listen,
             tcp::endpoint forward_target)
    : worker(own_worker)
    , address(std::move(listen))
    , target(std::move(forward_target))
    , acceptor(own_worker)
{
}

result<void> route::start()
{
    return this->open();
}

tcp::endpoint route::listen() const
{
    return this->address;
}

void route::silence_existing()
{
    for (const auto& each : this->connections)
        if (!std::exchange(each->is_silent, true))
            ++this->silenced;
}

void route::set_silence_new(bool value)
{
    this->silences_new = value;
}

result<void> route::set_refuse(bool value)
{
    error_code ignored;
    if (!value && !this->acceptor.is_open())
        return this->open();
    if (value)
        this->acceptor.close(ignored);
    return boost::outcome_v2::success();
}

void route::close_existing()
{
    for (const auto& each : this->connections)
        each->close();
}

boost::json::object route::counters() const
{
    return {{"open", this->connections.size()},
            {"accepted", this->accepted},
            {"silenced", this->silenced},
            {"bytes_passed", this->bytes_passed},
            {"bytes_swallowed", this->bytes_swallowed}};
}

result<void> route::open()
{
    error_code failure;
    this->acceptor.open(this->address.protocol(), failure);
    if (!failure)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        this->acceptor.bind(this->address, failure);
    if (!failure)
        this->acceptor.listen(asio::socket_base::max_listen_connections,
                              failure);
    if (failure)
    {
        error_code ignored;
        this->acceptor.close(ignored);
        return error{error_kind::connect_failed,
                     "listening on " + this->address.address().to_string() +
                         ":" + std::to_string(this->address.port()) +
                         " failed: " + failure.message()};
    }
    // Port 0 is replaced by the port chosen by the system, so that
    // set_refuse(false) opens the same port again.
    this->address = this->acceptor.local_endpoint();
    asio::co_spawn(this->worker, accept_all(this->shared_from_this()),
                   asio::detached);
    return boost::outcome_v2::success();
}

asio::awaitable<void> route::accept_all(std::shared_ptr<route> self)
{
    error_code failure;
    while (!failure && self->acceptor.is_open())
    {
        const auto next = std::make_shared<connection>(self->worker);
        co_await self->acceptor.async_accept(next->caller,
                                             store_error(failure));
        if (failure)
            break;
        ++self->accepted;
        next->is_silent = self->silences_new;
        self->silenced += self->silences_new ? 1 : 0;
        self->connections.insert(next);
        asio::co_spawn(self->worker, forward(self, next), asio::detached);
    }
}

asio::awaitable<void> route::forward(std::shared_ptr<route> self,
                                     connection_ptr forwarded)
{
    error_code failure;
    co_await forwarded->server.async_connect(self->target,
                                             store_error(failure));
    if (failure)
    {
        forwarded->close();
        self->connections.erase(forwarded);
        co_return;
    }
    asio::co_spawn(
        self->worker,
        copy(self, forwarded, &forwarded->caller, &forwarded->server),
        asio::detached);
    co_await copy(self, forwarded, &forwarded->server, &forwarded->caller);
}

asio::awaitable<void> route::copy(std::shared_ptr<route> self,
                                  connection_ptr copied, tcp::socket* from,
                                  tcp::socket* to)
{
    std::array<char, buffer_bytes> bytes{};
    error_code failure;
    while (!failure)
    {
        auto buffer = asio::buffer(bytes);
        const auto count =
            co_await from->async_read_some(buffer, store_error(failure));
        if (failure)
            break;
        if (copied->is_silent)
        {
            self->bytes_swallowed += count;
            continue;
        }
        auto received = asio::buffer(bytes.data(), count);
        co_await asio::async_write(*to, received, store_error(failure));
        self->bytes_passed += count;
    }
    // The caller of a silent connection must not notice that the target has
    // closed its side.
    if (copied->is_silent && from == &copied->server)
        co_return;
    copied->close();
    self->connections.erase(copied);
}

}
