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

// Which connections a call may use.
enum class connection_use : std::uint8_t
{
    any,
    // New, or heard from within the last second. For non-idempotent requests.
    fresh,
    // Always new. For a request whose last attempt met a silent connection.
    unused,
};

// What is sent to an upstream. One request may go to many upstreams.
struct upstream_request
{
    // Empty for POST, or GET when the body is empty. A request with a body or
    // a method of its own is work; any other is a status probe.
    std::string method;
    std::string target;
    // Sent as they are; a Host among them replaces the upstream's address.
    message_headers headers;
    // Compared with the reply where the dialect's replies name their request.
    std::string request_id;
    std::string body;
};

// One request to one upstream. Work is not sent to an upstream that is
// draining: it ends with upstream_shed.
struct upstream_call
{
    std::string replica;
    // Never null.
    std::shared_ptr<const upstream_request> request;
    time_point deadline;
    unsigned priority = 0;
    connection_use use = connection_use::any;
    // Without a byte of the reply for this long after sending, the connection
    // counts as silent. Zero takes the pool's attempt_timeout.
    duration first_byte_timeout{0};
    // Called just before the first byte is written, on the worker of the
    // upstream; when it returns false the call ends with deadline_passed and
    // nothing is sent. May be empty.
    std::function<bool()> before_send;
};

// An upstream's reply with any status.
struct upstream_reply
{
    unsigned status = 0;
    message_headers headers;
    std::string body;
    // From being handed to a connection to the last byte.
    duration latency{0};
};

// How a call ended without a reply.
struct upstream_failure
{
    error_kind kind = error_kind::internal;
    std::string message;
    // False when no byte was handed to a connection.
    bool was_sent = false;
};

using upstream_result =
    boost::outcome_v2::unchecked<upstream_reply, upstream_failure>;

// Called exactly once unless cancelled, on the worker that started the call.
using upstream_handler = std::function<void(upstream_result)>;

// Names a started call for cancellation.
struct upstream_call_id
{
    std::uint64_t value = 0;
};

// Address and limits of one upstream.
struct upstream_address
{
    boost::asio::ip::tcp::endpoint endpoint;
    // Connections that this instance may open.
    unsigned connection_share = 1;
    // Calls that may always run at once, however often the upstream sheds.
    unsigned min_concurrency = 1;
    std::shared_ptr<upstream_state> state;
    // The instance list says that the upstream is leaving. Replies that say
    // otherwise do not revoke it.
    bool is_leaving = false;
    // Idle connections are closed after this long; 0 takes the pool's
    // idle_timeout.
    std::chrono::milliseconds idle_timeout{0};
};

// Connections and queues of all upstreams. Each upstream belongs to one worker
// (by hash of its name); calls are posted there and answers are posted back.
// Records successes, failures, reply headers (x-draining, x-load,
// x-index-versions) in upstream_state.
class upstream_pool
{
public:
    struct options
    {
        std::size_t max_reply_bytes = std::size_t{4} * 1024 * 1024;
        std::chrono::milliseconds connect_timeout{1000};
        std::chrono::seconds idle_timeout{15};
        // A call with no byte of a reply after this long counts as sent over
        // a silent connection; the call's deadline may be earlier.
        std::chrono::milliseconds attempt_timeout{2000};
        // Latency that a failure counts as, when the failed call was faster.
        std::chrono::milliseconds failure_penalty{2000};
        std::shared_ptr<const upstream_dialect> dialect = make_json_dialect();
    };

    upstream_pool(worker_pool& workers, options values);
    ~upstream_pool();

    // Replaces the set of upstreams. Connections to upstreams that left the
    // set close when their call ends.
    void set_upstreams(std::map<std::string, upstream_address> upstreams);

    // Must be called on a worker.
    upstream_call_id start(upstream_call call, upstream_handler handler);
    // The handler is not called any more. A call on the wire is cancelled by
    // closing its connection. Must be called on the worker that started it.
    void cancel(upstream_call_id call);
    // Closes idle connections; running calls go on.
    void close_idle();

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

}

#endif
