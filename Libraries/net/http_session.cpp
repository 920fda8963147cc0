#include "net/http_session.hpp"

#include "net/round_trip.hpp"
#include "net/socket_buffers.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <exception>
#include <poll.h>
#include <string>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Limits on the input that is discarded after the last reply of a connection.
constexpr std::size_t max_discarded_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::chrono::seconds max_discard_time{2};
constexpr std::size_t discard_buffer_bytes = 16384;
// Time between two checks whether the peer of a running request has left, once
// further bytes of it have arrived.
constexpr std::chrono::milliseconds peer_check_interval{200};
// Upper bound of the first read of a request.
constexpr std::size_t first_read_bytes = 2048;
// Upper bound of each further read.
constexpr std::size_t max_read_bytes = 65536;
// A buffer that has grown beyond this size is freed after its request.
constexpr std::size_t max_idle_buffer_bytes = 4096;
// The fields of a request are held by its parser and by the handler's copy.
constexpr std::size_t header_copies = 2;
constexpr unsigned status_unavailable = 503;
// Time after which a dropped request may be repeated: by then unfinished
// requests have been dropped or have reached their time-outs.
constexpr const char* drop_retry_after = "1";

// Counts a request as running until its reply is written or the request fails.
class running_request
{
public:
    explicit running_request(std::atomic<std::size_t>& value)
        : counter(value)
    {
        ++this->counter;
    }

    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;

    ~running_request()
    {
        --this->counter;
    }

private:
    std::atomic<std::size_t>& counter;
};

}

http_session::http_session(tcp::socket socket,
                           std::shared_ptr<http_session_context> shared)
    : stream(std::move(socket))
    , peer_timer(this->stream.get_executor())
    , context(std::move(shared))
{
    error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
    // watch_peer() reads from the socket without blocking.
    this->stream.socket().non_blocking(true, ignored);
}

asio::awaitable<void> http_session::serve()
{
    this->memory.emplace(
        *this->context->values.memory, this->context.get(),
        [this] { this->handle_drop(); }, std::chrono::steady_clock::now());
    bool keep_open = true;
    while (keep_open)
        keep_open = co_await this->serve_request();
    // A peer that has been refused gets time to read the refusal, one that does
    // not read does not.
    if (!this->is_unread && (!this->is_dropped() || this->has_handled_drop))
    {
        this->memory->begin_close(std::chrono::steady_clock::now());
        co_await this->discard_input();
    }
    error_code ignored;
    this->stream.socket().close(ignored);
}

void http_session::close_if_idle()
{
    error_code failure;
    if (!this->is_idle || this->request_phase == 0 || this->buffer.size() > 0 ||
        this->stream.socket().available(failure) > 0)
        return;
    this->stream.socket().close(failure);
}

asio::awaitable<bool> http_session::serve_request()
{
    const auto wait_failure = co_await this->wait_for_request();
    // Counted from the first byte on, so that a shutdown also waits for a
    // request that has been read in part.
    const running_request running(this->context->running_requests);
    if (wait_failure)
        co_return false;
    std::optional<parser> message;
    auto failure = co_await this->read_request(message);
    if (!failure &&
        !this->memory->begin_serving(this->held_bytes(*message),
                                     std::chrono::steady_clock::now()))
        failure = asio::error::operation_aborted;
    if (failure)
    {
        // Frees what the request holds before the answer is written.
        message.reset();
        this->buffer.clear();
        this->shrink_buffer();
        co_await this->answer_read_error(failure);
        co_return false;
    }
    const bool keep_open = co_await this->answer_request(*message);
    this->shrink_buffer();
    this->memory->end_request(this->buffer.capacity(),
                              std::chrono::steady_clock::now());
    co_return keep_open;
}

asio::awaitable<error_code>
http_session::read_request(std::optional<parser>& message)
{
    this->header_bytes = 0;
    this->memory->begin_request(this->buffer.capacity(), this->buffer.size(),
                                std::chrono::steady_clock::now());
    // The limits may have changed while the connection was idle.
    const auto current_limits = this->limits();
    message.emplace();
    message->header_limit(
        static_cast<std::uint32_t>(current_limits.max_header_bytes));
    message->body_limit(current_limits.max_body_bytes);
    // The parser needs the whole head at once, too.
    this->buffer.max_size(max_unparsed_bytes + current_limits.max_header_bytes);
    auto failure = co_await this->read_headers(*message);
    if (!failure)
        failure = co_await this->read_body(*message);
    co_return failure;
}

asio::awaitable<bool> http_session::answer_request(parser& message)
{
    const bool wants_keep_alive = message.get().keep_alive();
    http_request request;
    request.method = std::string(message.get().method_string());
    request.target = std::string(message.get().target());
    for (const auto& field : message.get())
        request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    this->is_head = message.get().method() == http::verb::head;
    request.body = std::move(message.get().body());
    request.received = std::chrono::steady_clock::now();
    request.round_trip = round_trip(this->stream.socket());
    request.is_first_on_connection = this->request_phase == 0;
    request.is_peer_gone = std::make_shared<bool>(false);
    request.on_peer_gone = std::make_shared<std::function<void()>>();
    request.reserve_memory = [this](std::size_t bytes)
    {
        return this->memory->extend_request(bytes,
                                            std::chrono::steady_clock::now());
    };
    ++this->request_phase;
    this->watch_peer({.phase = this->request_phase,
                      .is_peer_gone = request.is_peer_gone,
                      .on_peer_gone = request.on_peer_gone});
    auto reply = co_await this->run_handler(std::move(request));
    ++this->request_phase;
    this->peer_timer.cancel();
    error_code ignored;
    this->stream.socket().cancel(ignored);
    if (reply.is_withheld)
        co_return false;
    co_return co_await this->write_reply(std::move(reply), wants_keep_alive);
}

bool http_session::is_dropped() const
{
    return this->memory->cause() != caller_memory::drop_cause::none;
}

void http_session::handle_drop()
{
    asio::post(this->stream.get_executor(),
               [self = this->weak_from_this()]
               {
                   const auto session = self.lock();
                   if (session && !session->has_handled_drop)
                       session->stream.cancel();
               });
}

std::size_t http_session::held_bytes(parser& message) const
{
    return this->buffer.capacity() + this->header_bytes +
           message.get().body().capacity();
}

void http_session::extend_socket_buffers(std::size_t message_bytes)
{
    constexpr auto large = caller_memory::large_socket_buffer_bytes;
    constexpr std::size_t directions = 2;
    const auto usual = this->context->values.socket_buffer_bytes;
    if (this->has_large_socket_buffers || usual == 0 ||
        message_bytes <= usual ||
        !this->memory->extend_connection(directions * large))
        return;
    this->has_large_socket_buffers = true;
    error_code ignored;
    set_socket_buffers(this->stream.socket(), large, ignored);
}

void http_session::shrink_buffer()
{
    if (this->buffer.size() == 0 &&
        this->buffer.capacity() > max_idle_buffer_bytes)
        this->buffer.shrink_to_fit();
}

http_limits http_session::limits() const
{
    const auto& values = this->context->values;
    if (values.limits)
        return values.limits();
    return {.max_header_bytes = http_limits{}.max_header_bytes,
            .max_body_bytes = values.max_body_bytes,
            .header_timeout = values.idle_timeout,
            .idle_timeout = values.idle_timeout};
}

asio::awaitable<error_code> http_session::wait_for_request()
{
    error_code failure;
    if (this->buffer.size() > 0)
        co_return failure;
    if (this->is_dropped())
        co_return asio::error::operation_aborted;
    this->is_idle = true;
    this->stream.expires_after(this->limits().idle_timeout);
    const auto space = this->buffer.prepare(first_read_bytes);
    const auto bytes =
        co_await this->stream.async_read_some(space, store_error(failure));
    this->buffer.commit(bytes);
    this->is_idle = false;
    co_return failure;
}

asio::awaitable<error_code> http_session::read_headers(parser& message)
{
    error_code failure;
    // One timeout for all the headers, so that a peer that sends a byte now and
    // then can't hold the connection open.
    this->stream.expires_after(this->limits().header_timeout);
    while (!failure && !message.is_header_done())
        failure = co_await this->read_some(message);
    co_return failure;
}

// Beast's own read operations return only when something has been parsed. They
// would hide how the buffer grows with headers, chunk extensions and trailers.
asio::awaitable<error_code> http_session::read_some(parser& message)
{
    error_code failure;
    if (this->is_dropped())
        co_return asio::error::operation_aborted;
    std::size_t parsed = 0;
    const bool is_header = !message.is_header_done();
    if (this->buffer.size() > 0)
        parsed = message.put(this->buffer.data(), failure);
    this->buffer.consume(parsed);
    if (is_header)
        this->header_bytes += parsed * header_copies;
    if (failure == http::error::need_more)
        failure = {};
    if (failure || parsed > 0)
    {
        this->memory->record_read(this->held_bytes(message), 0,
                                  std::chrono::steady_clock::now());
        co_return failure;
    }
    const auto size = beast::read_size(this->buffer, max_read_bytes);
    if (size == 0)
        co_return http::error::buffer_overflow;
    const auto space = this->buffer.prepare(size);
    const auto bytes =
        co_await this->stream.async_read_some(space, store_error(failure));
    this->buffer.commit(bytes);
    this->memory->record_read(this->held_bytes(message), bytes,
                              std::chrono::steady_clock::now());
    co_return failure;
}

asio::awaitable<error_code> http_session::read_body(parser& message)
{
    error_code failure;
    if (!message.is_done() &&
        beast::iequals(message.get()[http::field::expect], "100-continue"))
    {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(this->stream, proceed, store_error(failure));
    }
    this->extend_socket_buffers(message.content_length().value_or(0));
    // Parses all received chunks at once: many small ones would keep other
    // connections waiting.
    message.eager(true);
    while (!failure && !message.is_done())
    {
        this->stream.expires_after(this->limits().idle_timeout);
        failure = co_await this->read_some(message);
        this->extend_socket_buffers(message.get().body().size());
    }
    this->stream.expires_never();
    co_return failure;
}

asio::awaitable<void> http_session::answer_read_error(error_code failure)
{
    if (this->memory->cause() == caller_memory::drop_cause::memory)
    {
        this->has_handled_drop = true;
        const error full{error_kind::overloaded,
                         "the memory for requests is exhausted; the request "
                         "has not run"};
        auto reply = make_error_reply(status_unavailable, full);
        reply.headers.emplace_back("Retry-After", drop_retry_after);
        co_await this->write_reply(std::move(reply), false);
        co_return;
    }
    if (!is_http_error(failure) || failure == http::error::end_of_stream ||
        failure == http::error::partial_message)
        co_return;
    const bool is_too_large = failure == http::error::body_limit;
    const bool is_header_too_large = failure == http::error::header_limit;
    const auto current_limits = this->limits();
    const error large{error_kind::body_too_large,
                      "the body exceeds " +
                          std::to_string(current_limits.max_body_bytes) +
                          " bytes; send less"};
    const error large_header{
        error_kind::malformed_request,
        "the headers exceed " +
            std::to_string(current_limits.max_header_bytes) +
            " bytes; send less"};
    const error malformed{error_kind::malformed_request,
                          "the request is not valid HTTP/1.1: " +
                              failure.message()};
    auto reply = is_too_large          ? make_error_reply(413, large)
                 : is_header_too_large ? make_error_reply(431, large_header)
                                       : make_error_reply(400, malformed);
    co_await this->write_reply(std::move(reply), false);
}

asio::awaitable<http_reply> http_session::run_handler(http_request request)
{
    error fault{error_kind::internal, ""};
    try
    {
        co_return co_await this->context->handler(std::move(request));
    }
    catch (const std::exception& failure)
    {
        fault.message = failure.what();
    }
    co_return make_error_reply(500, fault);
}

asio::awaitable<bool> http_session::write_reply(http_reply reply,
                                                bool keep_open)
{
    keep_open = keep_open && !reply.announced_length &&
                !this->context->is_draining && !this->context->is_stopped;
    http::response<http::string_body> message;
    message.version(11);
    message.result(reply.status);
    if (!reply.content_type.empty())
        message.set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.headers)
        message.insert(name, value);
    message.keep_alive(keep_open);
    if (!keep_open)
        message.set(http::field::connection, "close");
    message.body() = std::move(reply.body);
    message.prepare_payload();
    if (std::exchange(this->is_head, false))
        message.body().clear();
    if (reply.announced_length)
        message.content_length(*reply.announced_length);
    error_code failure;
    this->stream.expires_after(this->limits().idle_timeout);
    this->extend_socket_buffers(message.body().size());
    this->memory->begin_reply(this->buffer.capacity() +
                                  message.body().capacity(),
                              std::chrono::steady_clock::now());
    // Written in parts, so that the account sees whether the peer reads.
    http::response_serializer<http::string_body> serializer(message);
    while (!failure && !serializer.is_done())
    {
        const auto written = co_await http::async_write_some(
            this->stream, serializer, store_error(failure));
        this->memory->record_write(written, std::chrono::steady_clock::now());
    }
    this->is_unread = failure.failed();
    co_return keep_open && !failure;
}

asio::awaitable<void> http_session::discard_input()
{
    error_code failure;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, failure);
    this->stream.expires_after(max_discard_time);
    // The bytes are never used, so that all connections of a thread share them.
    static thread_local std::array<char, discard_buffer_bytes> discarded;
    std::size_t total = 0;
    while (!failure && total < max_discarded_bytes)
    {
        auto target = asio::buffer(discarded);
        total +=
            co_await this->stream.async_read_some(target, store_error(failure));
    }
}

void http_session::watch_peer(const peer_watch& watch)
{
    this->stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = this->weak_from_this(), watch](error_code failure)
        {
            const auto session = self.lock();
            if (session && failure != asio::error::operation_aborted)
                session->check_peer(watch);
        });
}

void http_session::check_peer(const peer_watch& watch)
{
    if (this->request_phase != watch.phase)
        return;
    if (this->has_peer_left())
    {
        *watch.is_peer_gone = true;
        if (*watch.on_peer_gone)
            std::exchange(*watch.on_peer_gone, nullptr)();
        return;
    }
    // Bytes of a further request have arrived. The socket stays readable until
    // they are read, so that a wait for further events would end at once.
    this->peer_timer.expires_after(peer_check_interval);
    this->peer_timer.async_wait(
        [self = this->weak_from_this(), watch](error_code failure)
        {
            const auto session = self.lock();
            if (session && !failure)
                session->check_peer(watch);
        });
}

bool http_session::has_peer_left()
{
    char first = 0;
    error_code failure;
    auto& socket = this->stream.socket();
    socket.receive(asio::buffer(&first, 1), tcp::socket::message_peek, failure);
    if (failure)
        return failure != asio::error::would_block;
    pollfd state{.fd = socket.native_handle(), .events = POLLRDHUP};
    return ::poll(&state, 1, 0) > 0 && state.revents != 0;
}

}
