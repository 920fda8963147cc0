#ifndef WISTERIAHATCH_NET_UPSTREAM_POOL_HPP
#define WISTERIAHATCH_NET_UPSTREAM_POOL_HPP

#include "core/base/error.hpp"
#include "core/base/time.hpp"
#include "core/connection/upstream_state.hpp"
#include "net/message_headers.hpp"
#include "net/upstream_dialect.hpp"
#include "net/worker_pool.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wisteriahatch
{

// Which connections of an upstream a call may use.
enum class connection_use : std::uint8_t
{
    any,
    // New connections and those that received data within the last second.
    // For non-idempotent requests.
    new_or_recently_active,
    // New connections only. For a request whose last attempt was sent over a
    // silent connection, or that was sent to the same upstream before.
    new_only,
};

// A request that may be sent to several upstreams.
struct upstream_request
{
    // When empty, POST is used for a request with a body and GET for one
    // without. A request with neither a method nor a body is a status probe;
    // any other is work.
    std::string method;
    std::string target;
    // Sent unchanged. A Host header replaces the default, the upstream's
    // address.
    message_headers headers;
    // Compared with the id in the reply if the dialect's replies carry one.
    std::string request_id;
    std::string body;
};

// One request to one upstream. Work for a draining upstream is not sent and
// ends with upstream_shed.
struct upstream_call
{
    std::string replica;
    // Never null.
    std::shared_ptr<const upstream_request> request;
    time_point deadline;
    unsigned priority = 0;
    connection_use use = connection_use::any;
    // The connection counts as silent when no byte of the reply arrives within
    // this time of sending. Zero selects the pool's attempt_timeout.
    duration first_byte_timeout{0};
    // Called on the upstream's worker just before the request is written. If
    // it returns false, nothing is sent and the call ends with
    // deadline_passed. May be empty.
    std::function<bool()> before_send;
};

// An upstream's reply with any status.
struct upstream_reply
{
    unsigned status = 0;
    message_headers headers;
    std::string body;
    // Time from passing the request to a connection until the last byte of
    // the reply.
    duration latency{0};
};

// Why a call ended without a reply.
struct upstream_failure
{
    error_kind kind = error_kind::internal;
    std::string message;
    // True once writing the request to a connection has begun.
    bool was_sent = false;
};

using upstream_result =
    boost::outcome_v2::unchecked<upstream_reply, upstream_failure>;

// Called exactly once unless cancelled, on the worker that started the call.
using upstream_handler = std::function<void(upstream_result)>;

// Identifies a started call, for cancellation.
struct upstream_call_id
{
    std::uint64_t value = 0;
};

// Address and limits of one upstream.
struct upstream_address
{
    boost::asio::ip::tcp::endpoint endpoint;
    // Maximum number of connections that this instance opens.
    unsigned connection_share = 1;
    // Lower bound of the adaptive limit on concurrent calls, however often the
    // upstream sheds.
    unsigned min_concurrency = 1;
    std::shared_ptr<upstream_state> state;
    // True when the instance list marks the upstream as leaving. A reply that
    // reports no draining does not override it.
    bool is_leaving = false;
    // Idle connections are closed after this time. 0 selects the pool's
    // idle_timeout.
    std::chrono::milliseconds idle_timeout{0};
};

// What a reply has changed in what is known of its upstream's signals.
struct upstream_signal_change
{
    bool has_left = false;
    bool is_paused = false;
};

// Connections and queues of all upstreams. Each upstream belongs to one worker
// (by hash of its name); calls are posted to that worker and results are posted
// back. Records in upstream_state: successes, failures, and what the dialect
// reads from replies (draining, load, index versions).
class upstream_pool
{
public:
    struct options
    {
        std::size_t max_reply_bytes = std::size_t{4} * 1024 * 1024;
        // Limit on all replies that are being received, divided among the
        // workers; see reply_memory.
        std::size_t max_total_reply_bytes = std::size_t{64} * 1024 * 1024;
        std::chrono::milliseconds connect_timeout{1000};
        std::chrono::seconds idle_timeout{15};
        // First-byte timeout of calls that set none. A call's deadline may be
        // earlier.
        std::chrono::milliseconds attempt_timeout{2000};
        // Latency recorded for a failed call, unless the upstream's smoothed
        // latency is higher.
        std::chrono::milliseconds failure_penalty{2000};
        std::shared_ptr<const upstream_dialect> dialect = make_json_dialect();
        // Called on the upstream's worker when a reply has changed what is
        // known of the upstream's signals. May be empty.
        std::function<void(const std::string& upstream,
                           const upstream_report& report,
                           const upstream_signal_change& change)>
            handle_signals;
        // Called on the upstream's worker when a call is not sent because its
        // upstream leaves or wants a pause. May be empty.
        std::function<void()> handle_withheld_send;
    };

    upstream_pool(worker_pool& workers, options opts);
    ~upstream_pool();

    // Replaces the set of upstreams. Connections to removed upstreams are
    // closed when their call ends.
    void set_upstreams(std::map<std::string, upstream_address> upstreams);

    // Must be called on a worker.
    upstream_call_id start(upstream_call call, upstream_handler handler);
    // Cancels a call, whose handler is then not called. If the request has
    // been sent, its connection is closed. Must be called on the worker that
    // started the call.
    void cancel(upstream_call_id call);
    // Closes idle connections; running calls continue.
    void close_idle();

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

}

#endif
