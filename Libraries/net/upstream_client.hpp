#ifndef WISTERIAHATCH_NET_UPSTREAM_CLIENT_HPP
#define WISTERIAHATCH_NET_UPSTREAM_CLIENT_HPP

#include "core/connection/reply_memory.hpp"
#include "core/connection/upstream_queue.hpp"
#include "net/idle_connections.hpp"
#include "net/upstream_connection.hpp"
#include "net/upstream_pool.hpp"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace wisteriahatch
{

// A call that is queued for an upstream or running on one of its connections.
// Belongs to the upstream's worker.
struct upstream_task
{
    call_id id;
    upstream_call call;
    std::shared_ptr<upstream_state> state;
    // Set when the call was handed to a connection.
    std::shared_ptr<upstream_connection> connection;
    bool is_cancelled = false;
};

// The connections and the queue of one upstream. Belongs to one worker.
class upstream_client : public std::enable_shared_from_this<upstream_client>
{
public:
    // Called once for each task that was not cancelled.
    using finish_handler = std::function<void(call_id, upstream_result)>;

    // Idle connections are checked at this interval, because the upstream may
    // have been marked as draining by other code.
    static constexpr std::chrono::seconds idle_check_interval{1};
    // A connection counts as recently active (see connection_use) for this long
    // after its last activity.
    static constexpr std::chrono::seconds fresh_connection_window{1};
    // When a call is cancelled after waiting longer than this for the first
    // byte of its reply, idle connections opened before its own are presumed
    // to be silent, too, and are closed.
    static constexpr std::chrono::milliseconds cancel_silence_threshold{200};

    upstream_client(asio::io_context& worker, std::string name,
                    upstream_address address, upstream_pool::options opts,
                    std::shared_ptr<reply_memory> memory,
                    finish_handler handler);

    const tcp::endpoint& endpoint() const;
    // Applies a new share, state and other limits; the endpoint must not
    // change.
    void update(const upstream_address& address);
    void submit(std::shared_ptr<upstream_task> task);
    // Unknown ids are ignored.
    void cancel(call_id id);
    void close_idle();
    // Ends waiting calls with connect_failed; connections are closed when
    // their call ends. For an upstream that is removed from the set.
    void retire();

private:
    using connection_ptr = idle_connections::connection_ptr;
    using task_ptr = std::shared_ptr<upstream_task>;

    void apply(const upstream_queue::actions& actions);
    void start(const task_ptr& task);
    asio::awaitable<void> run(task_ptr task);
    // Returns whether the call may be sent; ends it if not.
    bool prepare_send(const task_ptr& task);
    // Returns an idle connection that the call may use, or a new one.
    connection_ptr take_connection(connection_use use);
    void return_connection(const connection_ptr& connection);
    // Closes the oldest idle connections until at most `max_connections` are
    // left, including those in use.
    void limit_idle(std::size_t max_connections);
    duration idle_timeout() const;

    // Ends a call of which no byte was sent.
    void end_unsent(const task_ptr& task, error_kind kind, std::string message);
    // Ends a call that failed to connect.
    void end_unconnected(const task_ptr& task, const error_code& failure,
                         time_point started);
    // Ends a call that was sent.
    void end_sent(const task_ptr& task, upstream_exchange exchange,
                  time_point started);
    void record(const upstream_task& task, const upstream_exchange& exchange,
                time_point now) const;
    void apply_report(const upstream_report& report);
    // Records what the upstream has said of itself.
    void apply_signals(const upstream_report& report);
    // True when the call must not be sent: the upstream has been removed from
    // the set, has said in a reply that it wants no requests, or the call is
    // work and the upstream is leaving or draining.
    bool is_unavailable_for(const upstream_call& call) const;
    // Ends the calls of which no byte was sent.
    void end_waiting(error_kind kind, const std::string& message);

    void set_timer();
    void handle_timer();

    asio::io_context& worker;
    std::string name;
    upstream_address address;
    upstream_pool::options values;
    // Shared by the upstreams of the worker.
    std::shared_ptr<reply_memory> memory;
    finish_handler on_finish;
    upstream_queue queue;
    std::map<call_id, task_ptr> tasks;
    idle_connections idle;
    // Connections in use or being opened.
    unsigned busy_connections = 0;
    std::uint64_t opened_connections = 0;
    std::deque<task_ptr> pending_starts;
    bool is_starting = false;
    bool is_retired = false;
    // The last reply with a draining state reported that the upstream is
    // draining.
    bool is_draining_by_reply = false;
    // Spreads the returns of the instances after a pause.
    std::minstd_rand random{std::random_device()()};
    asio::steady_timer timer;
    time_point timer_expiry = time_point::max();
};

}

#endif
