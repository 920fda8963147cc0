#include "net/http_server.hpp"

#include "net/beast.hpp"
#include "net/http_client.hpp"
#include "net/http_session.hpp"
#include "net/socket_buffers.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <unordered_set>

namespace wisteriahatch
{

namespace
{

// Time before accepting again after a failure such as too many open files.
constexpr std::chrono::milliseconds accept_retry_delay{10};
constexpr std::size_t max_listen_backlog = 4096;
constexpr std::size_t min_listen_backlog = 64;
// Time that a connection beyond the limit waits for another one to close. When
// a peer replaces a connection, its new one may be accepted before the close of
// its old one has been read.
constexpr std::chrono::milliseconds connection_slot_wait{20};
// Connections that may wait so at once, because each holds a descriptor.
constexpr std::size_t max_waiting_connections = 32;

}

http_reply make_error_reply(unsigned status, const error& failure)
{
    boost::json::object body;
    body["error"] = to_string(failure.kind);
    body["message"] = failure.message;
    http_reply reply;
    reply.status = status;
    reply.body = boost::json::serialize(body);
    return reply;
}

class http_server::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(worker_pool& pool, options opts, http_handler handler)
        : workers(pool)
        , context(std::make_shared<http_session_context>())
        , sessions(pool.size())
    {
        this->context->values = std::move(opts);
        this->context->handler = std::move(handler);
        this->can_displace = this->context->values.memory != nullptr;
        if (!this->can_displace)
            this->context->values.memory =
                std::make_shared<caller_memory>(caller_memory::options{});
    }

    result<void> start()
    {
        const auto listen_endpoint = this->context->values.listen;
        auto listener = std::make_shared<tcp::acceptor>(this->workers.at(0));
        error_code failure;
        listener->open(listen_endpoint.protocol(), failure);
        if (!failure)
            listener->set_option(tcp::acceptor::reuse_address(true), failure);
        if (!failure)
            this->limit_buffers(*listener, failure);
        if (!failure)
            listener->bind(listen_endpoint, failure);
        if (!failure)
            listener->listen(this->backlog(), failure);
        if (!failure)
            listener->non_blocking(true, failure);
        if (failure)
            return error{error_kind::connect_failed,
                         "listening on " + format_endpoint(listen_endpoint) +
                             " failed: " + failure.message() +
                             "; choose a free address"};
        this->bound_endpoint = listener->local_endpoint();
        this->acceptor = listener;
        asio::co_spawn(this->workers.at(0),
                       accept_all(this->shared_from_this(), listener),
                       asio::detached);
        return boost::outcome_v2::success();
    }

    std::future<void> stop_accepting()
    {
        const auto done = std::make_shared<std::promise<void>>();
        asio::post(this->workers.at(0),
                   [self = this->shared_from_this(), done]
                   {
                       if (const auto listener = self->acceptor.lock())
                           self->close_listener(*listener);
                       self->close_idle_sessions(done);
                   });
        return done->get_future();
    }

    // Runs on the first worker and owns the listening socket.
    static asio::awaitable<void>
    accept_all(std::shared_ptr<implementation> self,
               std::shared_ptr<tcp::acceptor> listener)
    {
        asio::steady_timer retry(listener->get_executor());
        while (listener->is_open())
        {
            error_code failure;
            const auto worker = self->take_worker();
            tcp::socket socket(self->workers.at(worker));
            co_await listener->async_accept(socket, store_error(failure));
            if (!failure)
                self->serve(std::move(socket), worker);
            else if (listener->is_open())
            {
                retry.expires_after(accept_retry_delay);
                co_await retry.async_wait(store_error(failure));
            }
        }
    }

    worker_pool& workers;
    std::shared_ptr<http_session_context> context;
    tcp::endpoint bound_endpoint;

private:
    // Serves the connections in the backlog, which the kernel has accepted
    // already, before it closes the listening socket.
    void close_listener(tcp::acceptor& listener)
    {
        error_code failure;
        while (!failure)
        {
            const auto worker = this->take_worker();
            tcp::socket socket(this->workers.at(worker));
            listener.accept(socket, failure);
            if (!failure)
                this->serve(std::move(socket), worker);
        }
        listener.close(failure);
        this->context->is_stopped = true;
    }

    // Returns the worker of the next connection.
    std::size_t take_worker()
    {
        const auto worker = this->next_worker;
        this->next_worker = (worker + 1) % this->workers.size();
        return worker;
    }

    // Connections that wait to be accepted. They hold received bytes, too,
    // while the process is stopped, so that they are limited like open ones.
    int backlog() const
    {
        const auto limit = this->context->values.max_connections;
        if (limit == 0)
            return static_cast<int>(max_listen_backlog);
        return static_cast<int>(
            std::clamp(limit / 2, min_listen_backlog, max_listen_backlog));
    }

    // Accepted sockets inherit the sizes, which must be set before the
    // connection is established to take effect on its window.
    void limit_buffers(tcp::acceptor& listener, error_code& failure) const
    {
        const auto bytes = this->context->values.socket_buffer_bytes;
        if (bytes > 0)
            set_socket_buffers(listener, bytes, failure);
    }

    // Serves the connection on the worker that its socket belongs to. Runs on
    // the first worker.
    void serve(tcp::socket socket, std::size_t worker)
    {
        if (this->has_free_connection_slot())
            this->start_session(std::move(socket), worker);
        else if (this->waiting_connections >= max_waiting_connections)
            this->displace_or_refuse(std::move(socket), worker);
        else
            asio::co_spawn(this->workers.at(0),
                           serve_after_wait(this->shared_from_this(),
                                            std::move(socket), worker),
                           asio::detached);
    }

    static asio::awaitable<void>
    serve_after_wait(std::shared_ptr<implementation> self, tcp::socket socket,
                     std::size_t worker)
    {
        ++self->waiting_connections;
        asio::steady_timer wait(self->workers.at(0), connection_slot_wait);
        error_code ignored;
        co_await wait.async_wait(store_error(ignored));
        --self->waiting_connections;
        if (self->has_free_connection_slot())
            self->start_session(std::move(socket), worker);
        else
            self->displace_or_refuse(std::move(socket), worker);
    }

    void displace_or_refuse(tcp::socket socket, std::size_t worker)
    {
        const auto& memory = this->context->values.memory;
        if (this->can_displace &&
            memory->displace_connection(this->context.get(),
                                        std::chrono::steady_clock::now()))
            this->start_session(std::move(socket), worker);
        else
            ++this->context->refused_connections;
    }

    bool has_free_connection_slot() const
    {
        const auto limit = this->context->values.max_connections;
        return limit == 0 || this->context->open_connections < limit;
    }

    void start_session(tcp::socket socket, std::size_t worker)
    {
        ++this->context->accepted_connections;
        const std::size_t open = ++this->context->open_connections;
        this->context->peak_open_connections =
            std::max(open, this->context->peak_open_connections.load());
        auto session =
            std::make_shared<http_session>(std::move(socket), this->context);
        asio::post(this->workers.at(worker),
                   [self = this->shared_from_this(), worker, session]
                   {
                       self->sessions[worker].insert(session.get());
                       asio::co_spawn(self->workers.at(worker),
                                      run_session(self, worker, session),
                                      asio::detached);
                   });
    }

    static asio::awaitable<void>
    run_session(std::shared_ptr<implementation> self, std::size_t worker,
                std::shared_ptr<http_session> session)
    {
        co_await session->serve();
        self->sessions[worker].erase(session.get());
        --self->context->open_connections;
    }

    // Sets `done` when each worker has closed its idle connections.
    void close_idle_sessions(const std::shared_ptr<std::promise<void>>& done)
    {
        const auto remaining_workers =
            std::make_shared<std::atomic<std::size_t>>(this->workers.size());
        for (std::size_t worker = 0; worker < this->workers.size(); ++worker)
            asio::post(this->workers.at(worker),
                       [self = this->shared_from_this(), worker,
                        remaining_workers, done]
                       {
                           for (auto* session : self->sessions[worker])
                               session->close_if_idle();
                           if (--*remaining_workers == 0)
                               done->set_value();
                       });
    }

    // The accepting coroutine owns the listening socket, so that the socket
    // never outlives its worker.
    std::weak_ptr<tcp::acceptor> acceptor;
    // False without an account of the memory.
    bool can_displace = false;
    std::size_t next_worker = 0;
    // Accepted connections that wait for a slot. Used by the first worker only.
    std::size_t waiting_connections = 0;
    // Open sessions by worker; each set belongs to its worker.
    std::vector<std::unordered_set<http_session*>> sessions;
};

http_server::http_server(worker_pool& workers, options opts,
                         http_handler handler)
    : state(std::make_shared<implementation>(workers, std::move(opts),
                                             std::move(handler)))
{
}

http_server::~http_server()
{
    this->state->stop_accepting();
}

result<void> http_server::start()
{
    return this->state->start();
}

tcp::endpoint http_server::endpoint() const
{
    return this->state->bound_endpoint;
}

void http_server::begin_drain()
{
    this->state->context->is_draining = true;
}

std::future<void> http_server::stop_accepting()
{
    return this->state->stop_accepting();
}

std::size_t http_server::running_requests() const
{
    return this->state->context->running_requests;
}

http_connection_counts http_server::connections() const
{
    const auto& context = *this->state->context;
    return {.accepted = context.accepted_connections,
            .open = context.open_connections,
            .peak_open = context.peak_open_connections,
            .refused = context.refused_connections};
}

}
