#ifndef WISTERIAHATCH_GATEWAY_REQUEST_SESSION_HPP
#define WISTERIAHATCH_GATEWAY_REQUEST_SESSION_HPP

#include "core/process/load_estimate.hpp"
#include "core/process/upstream_rate_limits.hpp"
#include "core/request/fan_out.hpp"
#include "net/forwarding_header_names.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

class request_log;

// How a forwarded request ended, and the answers of its legs.
struct forwarded_request
{
    fan_out_result result = fan_out_result::failed;
    // The answer and the state of each leg, in the order of the services.
    std::vector<std::optional<upstream_reply>> answers;
    std::vector<fan_out::leg_outcome> legs;
    // The error reply of an upstream, which is passed on to the caller when
    // there is no answer.
    std::optional<upstream_reply> failure;
    // The ended attempts of a request with one leg, each as its upstream and
    // outcome: "i-1:refused,i-2:answered".
    std::string upstreams;
    unsigned sends = 0;
    unsigned repeats = 0;
    unsigned denied_repeats = 0;
    // See fan_out.
    unsigned withheld_sends = 0;
    std::optional<time_point> next_allowed_send;
};

// Sends one caller's request to the upstreams that its fan_out chooses. Lives
// until the request has ended and no released attempt still runs.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    struct options
    {
        boost::asio::io_context* worker = nullptr;
        upstream_pool* upstreams = nullptr;
        const upstream_dialect* dialect = nullptr;
        const forwarding_header_names* header_names = nullptr;
        http_request request;
        std::string request_id;
        time_point deadline;
        unsigned priority = 0;
        // True when the answers are merged; only replies with a success status
        // are answers then.
        bool is_scattered = false;
        // Records of each reply to a scattered request that are kept.
        std::size_t max_records = 0;
        fan_out::options plan;
        upstream_rate_limits* rate_limits = nullptr;
        // What the ends of attempts say of the upstreams' load; may be null.
        load_estimate* load = nullptr;
        request_log* log = nullptr;
        // Called when a reply has shown that an upstream is cold. May be empty.
        std::function<void()> handle_cold;
    };

    // Attempts whose answer is no longer needed are cancelled after this time.
    // Those that end earlier leave a connection that can be reused.
    static constexpr std::chrono::milliseconds linger_time{40};

    explicit request_session(options opts);

    // Runs the request to its end. Returns nothing when the caller has closed
    // its connection. Must be called once, on the worker.
    boost::asio::awaitable<std::optional<forwarded_request>> run();
    // Ends the request now, with what is known of its outcome.
    void expire();
    // Ends the calls to evacuated failure domains that have not been sent.
    void withdraw_evacuated();

private:
    // A call that has not ended.
    struct running_call
    {
        upstream_call_id id;
        registered_upstream_ptr upstream;
        time_point started;
        bool is_released = false;
        bool is_sent = false;
    };

    void apply(const std::vector<fan_out::action>& actions);
    void perform(const fan_out::send& action);
    // Returns which connections of the upstream the attempt may use.
    connection_use choose_connection_use(const fan_out::send& action) const;
    void perform(const fan_out::release& action);
    void perform(const fan_out::start_timer& action);
    void perform(const fan_out::finish& action);
    void end_attempt(attempt_id attempt, upstream_result outcome);
    // False when the attempt's answer is no longer needed, or its upstream's
    // failure domain has been evacuated since it was chosen.
    bool is_wanted(attempt_id attempt) const;
    // Returns the outcome of an attempt. Keeps a reply that may be passed on to
    // the caller.
    attempt_outcome classify(attempt_id attempt, upstream_result& result);
    // Returns what the answer to a scattered request needs of the reply.
    upstream_reply reduce(upstream_reply reply) const;
    // Records the end of an attempt in the log and the metrics.
    void record(const running_call& call, attempt_outcome end,
                std::string_view reason);
    // Records what the reply says about the upstream's rate limit.
    void record_rate_limit(const upstream_spec& upstream,
                           const upstream_reply& reply);
    // Records how long the upstream says that it is cold.
    void record_warm_up(const upstream_spec& upstream,
                        const upstream_reply& reply);
    // Records what the end of an attempt says about the upstream's load.
    void record_load(const running_call& call, const upstream_result& result);
    void handle_caller_disconnect();
    void cancel_released();

    options config;
    retry_policy retries;
    // The request that every attempt sends.
    std::shared_ptr<const upstream_request> content;
    fan_out decisions;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer linger_timer;
    // Never expires; cancelled when the request has ended.
    boost::asio::steady_timer finished;
    std::map<attempt_id, running_call> calls;
    std::map<attempt_id, upstream_reply> replies;
    forwarded_request outcome;
    bool has_ended = false;
    bool is_caller_disconnected = false;
};

}

#endif
