#ifndef WISTERIAHATCH_ENTRY_QUERY_SESSION_HPP
#define WISTERIAHATCH_ENTRY_QUERY_SESSION_HPP

#include "core/request/query.hpp"
#include "net/upstream_pool.hpp"
#include "telemetry/metrics.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

namespace wisteriahatch
{

// Carries out the actions of one query over the network. May be used only on
// the worker that accepted the request.
class query_session : public std::enable_shared_from_this<query_session>
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        upstream_pool* upstreams = nullptr;
        metrics* measures = nullptr;
        std::string query_text;
        // Set by the HTTP server when the caller closed its connection.
        std::shared_ptr<bool> is_caller_gone;
        query_options query;
    };

    explicit query_session(options opts);

    // Runs the query to its end. Must be called once, on the worker.
    boost::asio::awaitable<query_answer> run();

private:
    // A call that has not ended, and the attempt that it carries out.
    struct running_call
    {
        upstream_call_id id;
        send_attempt sent;
    };

    void apply(std::vector<query_action> actions);
    // Starts the call and keeps the action to compare its reply with it.
    void act(send_attempt& action);
    void act(const cancel_attempt& action);
    void act(const set_timer& action);
    void act(finish_query& action);
    void finish_attempt(attempt_id attempt, upstream_result outcome);
    // Counts a reply that belongs to another request, shard or version; the
    // query itself turns it into a failure of the attempt.
    void report_wrong_content(const std::string& replica, error_kind kind);
    // Records a long latency for the replica.
    void penalise(const std::string& replica);
    void fail_attempt(attempt_id attempt, error_kind kind);

    options config;
    // Copied from `config.query` before it is moved into `current_query`.
    std::string service_name;
    upstream_table_ptr replicas;
    query current_query;
    boost::asio::steady_timer timer;
    // Never expires; cancelled when the query has ended.
    boost::asio::steady_timer finished;
    std::map<attempt_id, running_call> calls;
    query_answer answer;
    bool has_answer = false;
};

}

#endif
