#ifndef WISTERIAHATCH_NET_UPSTREAM_CLIENT_HPP
#define WISTERIAHATCH_NET_UPSTREAM_CLIENT_HPP

#include "core/connection/upstream_queue.hpp"
#include "net/idle_connections.hpp"
#include "net/upstream_connection.hpp"
#include "net/upstream_pool.hpp"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wisteriahatch
{

// A call on its way through an upstream's queue and connections. Belongs to
// the upstream's worker.
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

    // Idle connections are examined this often: the upstream may have been
    // marked as draining elsewhere.
    static constexpr std::chrono::seconds idle_check_interval{1};
    // Longest silence of a connection that counts as fresh.
    static constexpr std::chrono::seconds fresh_time{1};
    // A call that is cancelled after so long without a byte of a reply casts
    // doubt on the connections that were opened before its own.
    static constexpr std::chrono::milliseconds silence_limit{200};

    upstream_client(asio::io_context& worker, std::string name,
                    upstream_address address, upstream_pool::options values,
                    finish_handler handler);

    const tcp::endpoint& endpoint() const;
    // Adopts another share or state; the endpoint stays.
    void update(const upstream_address& address);
    void submit(std::shared_ptr<upstream_task> task);
    // Unknown ids change nothing.
    void cancel(call_id id);
    void close_idle();
    // The upstream left the set: calls that wait end with connect_failed, and
    // connections close when their call ends.
    void retire();

private:
    using connection_ptr = idle_connections::connection_ptr;
    using task_ptr = std::shared_ptr<upstream_task>;

    void apply(const upstream_queue::actions& actions);
    void start(const task_ptr& task);
    asio::awaitable<void> run(task_ptr task);
    // Returns whether the call may be sent, and ends it when it may not.
    bool prepare_send(const task_ptr& task);
    // Returns an idle connection that the call may use, or a new one.
    connection_ptr take_connection(connection_use use);
    void return_connection(const connection_ptr& connection);
    // Closes the oldest idle connections until at most `most` connections are
    // left, those in use included.
    void limit_idle(std::size_t most);
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
    void store_report(const upstream_report& report);
    // True when the upstream must get no further work.
    bool is_closed_to(const upstream_call& call) const;

    void set_timer();
    void handle_timer();

    asio::io_context& worker;
    std::string name;
    upstream_address address;
    upstream_pool::options values;
    finish_handler finished;
    upstream_queue queue;
    std::map<call_id, task_ptr> tasks;
    idle_connections idle;
    // Connections in use or being opened.
    unsigned busy = 0;
    std::uint64_t opened = 0;
    std::deque<task_ptr> to_start;
    bool is_starting = false;
    bool is_retired = false;
    // The last reply that said anything said that the upstream is draining.
    bool is_draining_by_reply = false;
    asio::steady_timer timer;
    time_point timer_expiry = time_point::max();
};

}

#endif
