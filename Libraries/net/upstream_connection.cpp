#include "net/upstream_connection.hpp"

#include "net/http_client.hpp"
#include "net/reply_status.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <string>
#include <utility>

namespace wisteriahatch
{

namespace
{

constexpr unsigned http_version = 11;
// A connection fails when sent bytes are not acknowledged within this time.
constexpr std::chrono::milliseconds send_timeout{3000};

// Returns the bytes of a request's head in one buffer, because Beast's own
// write iterates over the parts of the header several times for each send. The
// body is not copied: a request that is sent to many upstreams holds it once.
template <class Body>
std::string serialize_head(const http::request<Body>& request)
{
    http::request_serializer<Body> serializer(request);
    serializer.split(true);
    std::string text;
    error_code failure;
    while (!failure && !serializer.is_header_done())
        serializer.next(failure,
                        [&](error_code&, const auto& buffers)
                        {
                            const auto before = text.size();
                            for (const asio::const_buffer part :
                                 beast::buffers_range_ref(buffers))
                                text.append(
                                    static_cast<const char*>(part.data()),
                                    part.size());
                            serializer.consume(text.size() - before);
                        });
    return text;
}

// Makes a connection over a partitioned link fail instead of hang.
void set_send_timeout(tcp::socket& socket)
{
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    error_code ignored;
    socket.set_option(user_timeout(static_cast<int>(send_timeout.count())),
                      ignored);
}

}

upstream_connection::upstream_connection(asio::io_context& worker,
                                         tcp::endpoint address,
                                         std::uint64_t number)
    : stream(worker)
    , endpoint(std::move(address))
    , opening_number(number)
{
}

asio::awaitable<error_code> upstream_connection::connect(time_point expiry)
{
    error_code failure;
    this->stream.expires_at(expiry);
    co_await this->stream.async_connect(this->endpoint, store_error(failure));
    if (failure)
        co_return failure;
    error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
    this->stream.socket().non_blocking(true, ignored);
    set_send_timeout(this->stream.socket());
    this->last_activity_time = std::chrono::steady_clock::now();
    this->is_usable = true;
    co_return failure;
}

asio::awaitable<upstream_exchange>
upstream_connection::exchange(const upstream_call& call,
                              time_point first_byte_deadline,
                              const upstream_dialect& dialect,
                              std::size_t max_reply_bytes, reply_memory& memory)
{
    const auto started = std::chrono::steady_clock::now();
    this->is_usable = false;
    this->waiting_since = started;
    const auto request = this->make_request(call, dialect, started);
    const auto head = serialize_head(request);
    const std::array message{asio::buffer(head),
                             asio::buffer(call.request->body)};

    error_code failure;
    this->stream.expires_at(std::min(first_byte_deadline, call.deadline));
    co_await asio::async_write(this->stream, message, store_error(failure));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    parser.skip(request.method() == http::verb::head);
    reply_memory::reservation reservation(memory, [this] { this->close(); });
    bool was_silent = true;
    while (!failure && !parser.is_done() && !reservation.is_given_up())
    {
        const auto bytes = co_await http::async_read_some(
            this->stream, this->buffer, parser, store_error(failure));
        reservation.resize(parser.get().body().size() + this->buffer.size());
        if (bytes == 0 || !was_silent)
            continue;
        was_silent = false;
        this->waiting_since.reset();
        this->stream.expires_at(call.deadline);
    }
    if (reservation.is_given_up())
        co_return this->make_given_up_failure();
    if (failure)
    {
        auto failed = this->make_failure(failure);
        failed.was_silent = was_silent && failure == beast::error::timeout;
        co_return failed;
    }

    this->stream.expires_never();
    this->last_activity_time = std::chrono::steady_clock::now();
    this->is_usable = parser.keep_alive() && this->buffer.size() == 0;
    upstream_reply reply;
    reply.status = parser.get().result_int();
    for (const auto& field : parser.get())
        reply.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    reply.body = std::move(parser.get().body());
    reply.latency = this->last_activity_time - started;
    if (!is_final_status(reply.status))
    {
        this->is_usable = false;
        co_return this->make_invalid_status_failure(reply.status);
    }
    if (!dialect.belongs_to(call, reply))
    {
        this->is_usable = false;
        co_return this->make_mismatched_reply_failure();
    }
    upstream_report report = dialect.read_report(reply);
    co_return upstream_exchange{std::move(reply), std::move(report), false};
}

upstream_connection::http_request_view
upstream_connection::make_request(const upstream_call& call,
                                  const upstream_dialect& dialect,
                                  time_point now) const
{
    const auto& request_data = *call.request;
    http_request_view request;
    request.version(http_version);
    if (!request_data.method.empty())
        request.method_string(request_data.method);
    else
        request.method(request_data.body.empty() ? http::verb::get
                                                 : http::verb::post);
    request.target(request_data.target);
    request.set(http::field::host, this->endpoint.address().to_string());
    for (const auto& header : request_data.headers)
    {
        if (is_same_header(header.name, "host"))
            request.set(http::field::host, header.value);
        else
            request.insert(header.name, header.value);
    }
    for (const auto& header : dialect.send_headers(call, call.deadline - now))
        request.set(header.name, header.value);
    request.body() = {request_data.body.data(), request_data.body.size()};
    request.prepare_payload();
    return request;
}

void upstream_connection::close()
{
    error_code ignored;
    this->is_usable = false;
    this->stream.socket().close(ignored);
}

bool upstream_connection::is_silent(time_point now, duration limit) const
{
    return this->waiting_since && now - *this->waiting_since > limit;
}

bool upstream_connection::is_reusable()
{
    if (!this->is_usable)
        return false;
    char first = 0;
    error_code failure;
    this->stream.socket().receive(asio::buffer(&first, 1),
                                  tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

bool upstream_connection::is_open() const
{
    return this->is_usable;
}

std::uint64_t upstream_connection::number() const
{
    return this->opening_number;
}

time_point upstream_connection::last_activity() const
{
    return this->last_activity_time;
}

upstream_exchange
upstream_connection::make_failure(const error_code& failure) const
{
    const auto name = format_endpoint(this->endpoint);
    upstream_failure outcome;
    outcome.was_sent = true;
    if (failure == beast::error::timeout)
    {
        outcome.kind = error_kind::upstream_timeout;
        outcome.message = name + " did not reply in time; ask another replica";
    }
    else if (failure == http::error::body_limit)
    {
        outcome.kind = error_kind::reply_too_large;
        outcome.message = "the reply of " + name + " exceeds the limit";
    }
    else
    {
        outcome.kind = error_kind::truncated_reply;
        outcome.message =
            "the reply of " + name + " is not whole: " + failure.message();
    }
    return upstream_exchange{std::move(outcome), {}, false};
}

upstream_exchange upstream_connection::make_given_up_failure() const
{
    upstream_failure outcome;
    outcome.was_sent = true;
    outcome.kind = error_kind::reply_too_large;
    outcome.message = "the reply of " + format_endpoint(this->endpoint) +
                      " was the largest when all replies together exceeded the "
                      "memory limit; check what the upstream sends";
    return upstream_exchange{std::move(outcome), {}, false};
}

upstream_exchange
upstream_connection::make_invalid_status_failure(unsigned status) const
{
    upstream_failure outcome;
    outcome.was_sent = true;
    outcome.kind = error_kind::truncated_reply;
    outcome.message = format_endpoint(this->endpoint) +
                      " sent no final HTTP status but " +
                      std::to_string(status) + "; ask another replica";
    return upstream_exchange{std::move(outcome), {}, false};
}

upstream_exchange upstream_connection::make_mismatched_reply_failure() const
{
    upstream_failure outcome;
    outcome.was_sent = true;
    outcome.kind = error_kind::wrong_request_id;
    outcome.message = format_endpoint(this->endpoint) +
                      " sent the reply to another request; ask another replica";
    return upstream_exchange{std::move(outcome), {}, false};
}

}
