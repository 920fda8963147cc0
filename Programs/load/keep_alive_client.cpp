#include "keep_alive_client.hpp"

#include "net/http_client.hpp"
#include "net/reply_status.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <deque>
#include <list>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t max_reply_bytes = std::size_t{16} * 1024 * 1024;

// An open connection; destroying it closes it.
struct connection
{
    connection(asio::io_context& context, tcp::endpoint server)
        : stream(context)
        , server(std::move(server))
    {
    }

    beast::tcp_stream stream;
    tcp::endpoint server;
    beast::flat_buffer buffer;
    bool was_used = false;
};

using connection_ptr = std::unique_ptr<connection>;

// True if the server has closed an idle connection. A request written to it
// would count as cut although the server never read it.
bool is_closed_by_server(connection& idle)
{
    char byte = 0;
    error_code failure;
    tcp::socket& socket = idle.stream.socket();
    socket.non_blocking(true, failure);
    if (failure)
        return true;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure != asio::error::would_block;
}

bool is_malformed(const error_code& failure)
{
    static const auto& category =
        http::make_error_code(http::error::end_of_stream).category();
    return failure.category() == category &&
           failure != http::error::end_of_stream &&
           failure != http::error::partial_message;
}

exchange_outcome outcome_of(const error_code& failure)
{
    if (failure == beast::error::timeout)
        return exchange_outcome::timed_out;
    return is_malformed(failure) ? exchange_outcome::malformed_reply
                                 : exchange_outcome::cut;
}

}

// Holds the idle connections and the queue of requests that wait for one.
class keep_alive_client::implementation
{
public:
    implementation(asio::io_context& context, unsigned max_connections)
        : context(context)
        , max_connections(max_connections)
    {
    }

    // Returns an idle connection or one that is not connected yet; null if the
    // connection limit left none free before `expiry`.
    asio::awaitable<connection_ptr> acquire(tcp::endpoint server,
                                            time_point expiry)
    {
        // Later requests queue behind waiting ones.
        while (!this->waiting.empty() || !this->has_room())
        {
            waiter self{asio::steady_timer(this->context, expiry)};
            this->waiting.push_back(&self);
            error_code failure;
            co_await self.timer.async_wait(
                asio::redirect_error(asio::use_awaitable, failure));
            if (!self.is_woken)
            {
                this->waiting.remove(&self);
                co_return nullptr;
            }
            if (this->has_room())
                break;
        }
        co_return this->take(server);
    }

    // Returns the connection to the idle ones or closes it, and wakes the
    // request that has waited longest.
    void release(connection_ptr used, bool may_reuse)
    {
        if (may_reuse)
            this->idle.push_back(std::move(used));
        else
            --this->open;
        used.reset();
        this->wake_one();
    }

    asio::io_context& context;

private:
    // A request that waits for a connection to be released.
    struct waiter
    {
        asio::steady_timer timer;
        // Set before the timer is cancelled, as it may have expired already.
        bool is_woken = false;
    };

    bool has_room() const
    {
        return this->open < this->max_connections || !this->idle.empty();
    }

    // Takes the most recently used idle connection to the server. If there is
    // none, creates one, and at the limit closes the oldest idle one first.
    connection_ptr take(const tcp::endpoint& server)
    {
        for (std::size_t index = this->idle.size(); index-- > 0;)
        {
            if (this->idle[index]->server != server)
                continue;
            connection_ptr found = std::move(this->idle[index]);
            this->idle.erase(this->idle.begin() +
                             static_cast<std::ptrdiff_t>(index));
            if (!is_closed_by_server(*found))
                return found;
            --this->open;
        }
        if (this->open >= this->max_connections)
        {
            this->idle.pop_front();
            --this->open;
        }
        ++this->open;
        return std::make_unique<connection>(this->context, server);
    }

    void wake_one()
    {
        if (this->waiting.empty())
            return;
        waiter* const first = this->waiting.front();
        this->waiting.pop_front();
        first->is_woken = true;
        first->timer.cancel();
    }

    unsigned max_connections;
    unsigned open = 0;
    std::deque<connection_ptr> idle;
    std::list<waiter*> waiting;
};

keep_alive_client::keep_alive_client(asio::io_context& context,
                                     unsigned max_connections)
    : state(std::make_unique<implementation>(context, max_connections))
{
}

keep_alive_client::~keep_alive_client() = default;

asio::awaitable<exchange_result>
keep_alive_client::exchange(exchange_request request)
{
    exchange_result result;
    connection_ptr used =
        co_await this->state->acquire(request.server, request.expiry);
    if (!used)
    {
        result.outcome = exchange_outcome::no_connection;
        co_return result;
    }
    result.was_reused = used->was_used;
    error_code failure;
    auto store = asio::redirect_error(asio::use_awaitable, failure);
    used->stream.expires_at(request.expiry);
    if (!used->was_used)
    {
        co_await used->stream.async_connect(request.server, store);
        if (failure)
        {
            this->state->release(std::move(used), false);
            co_return result;
        }
        used->stream.socket().set_option(tcp::no_delay(true), failure);
    }
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, format_endpoint(request.server));
    message.set(http::field::content_type, "application/json");
    message.body() = std::move(request.body);
    message.prepare_payload();
    co_await http::async_write(used->stream, message, store);
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    if (!failure)
        co_await http::async_read(used->stream, used->buffer, parser, store);
    if (failure)
    {
        result.outcome = outcome_of(failure);
        this->state->release(std::move(used), false);
        co_return result;
    }
    if (!is_final_status(parser.get().result_int()))
    {
        result.outcome = exchange_outcome::malformed_reply;
        this->state->release(std::move(used), false);
        co_return result;
    }
    result.outcome = exchange_outcome::replied;
    result.status = parser.get().result_int();
    result.body = std::move(parser.get().body());
    used->was_used = true;
    used->stream.expires_never();
    const bool may_reuse = parser.get().keep_alive();
    this->state->release(std::move(used), may_reuse);
    co_return result;
}

}
