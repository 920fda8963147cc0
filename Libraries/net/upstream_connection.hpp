#ifndef WISTERIAHATCH_NET_UPSTREAM_CONNECTION_HPP
#define WISTERIAHATCH_NET_UPSTREAM_CONNECTION_HPP

#include "core/base/time.hpp"
#include "core/connection/reply_memory.hpp"
#include "net/beast.hpp"
#include "net/upstream_dialect.hpp"
#include "net/upstream_pool.hpp"

#include <cstdint>
#include <optional>

namespace wisteriahatch
{

// The outcome of one request over a connection.
struct upstream_exchange
{
    upstream_result outcome;
    upstream_report report;
    // True when no byte of the reply arrived in time.
    bool was_silent = false;
};

// One HTTP/1.1 connection to an upstream; carries one request at a time.
// Belongs to one worker.
class upstream_connection
{
public:
    // `number` is higher than that of every connection opened earlier to the
    // same upstream.
    upstream_connection(asio::io_context& worker, tcp::endpoint endpoint,
                        std::uint64_t number);

    // Returns an error when not connected by `expiry`.
    asio::awaitable<error_code> connect(time_point expiry);
    // Sends the request and reads its reply. The first byte of the reply must
    // arrive by `first_byte_deadline`, the last one by the call's deadline.
    asio::awaitable<upstream_exchange> exchange(const upstream_call& call,
                                                time_point first_byte_deadline,
                                                const upstream_dialect& dialect,
                                                std::size_t max_reply_bytes,
                                                reply_memory& memory);
    void close();
    // True when the current request was sent more than `limit` ago and no byte
    // of its reply has arrived.
    bool is_silent(time_point now, duration limit) const;

    // False when the upstream has closed the connection or has sent
    // unsolicited bytes, which would be read as the reply to the next request.
    bool is_reusable();
    bool is_open() const;
    std::uint64_t number() const;
    // Time at which the last reply was complete, or the connection was opened.
    time_point last_activity() const;

private:
    // Refers to the body of an upstream_request without copying it.
    using http_request_view = http::request<http::span_body<const char>>;

    http_request_view make_request(const upstream_call& call,
                                   const upstream_dialect& dialect,
                                   time_point now) const;
    upstream_exchange make_failure(const error_code& failure) const;
    // Returns the outcome of an exchange whose reply was given up to save
    // memory.
    upstream_exchange make_given_up_failure() const;
    // Returns the outcome of an exchange whose reply has a status that does not
    // end it.
    upstream_exchange make_invalid_status_failure(unsigned status) const;
    // Returns the outcome of an exchange whose reply answers another request.
    upstream_exchange make_mismatched_reply_failure() const;

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    tcp::endpoint endpoint;
    std::uint64_t opening_number;
    time_point last_activity_time{};
    // Time at which the current request was sent; empty once the first byte of
    // its reply has arrived.
    std::optional<time_point> waiting_since;
    bool is_usable = false;
};

}

#endif
