#ifndef WISTERIAHATCH_GATEWAY_REQUEST_SESSION_HPP
#define WISTERIAHATCH_GATEWAY_REQUEST_SESSION_HPP

#include "core/request/fan_out.hpp"
#include "net/forwarding_header_names.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
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
    // The answer of each leg, in the order of the services, and how far the
    // leg came.
    std::vector<std::optional<upstream_reply>> answers;
    std::vector<fan_out::leg_outcome> legs;
    // An upstream's own failure, which its caller gets where there is no
    // answer.
    std::optional<upstream_reply> failure;
    // The upstreams of a request with one leg, in the order of the sends, with
    // the end of each: "i-1:refused,i-2:answered".
    std::string upstreams;
    unsigned sends = 0;
    unsigned repeats = 0;
    unsigned denied_repeats = 0;
};

// Sends one caller's request to the upstreams that its fan_out chooses. Lives
// for the request, and a little longer for attempts that lost a race.
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
        // The answers are parts of a merged one; only successes are parts.
        bool is_scattered = false;
        fan_out::options plan;
        request_log* log = nullptr;
    };

    // Attempts whose answer is not needed any more keep their connection this
    // long, so that it can be used again.
    static constexpr std::chrono::milliseconds linger_time{40};

    explicit request_session(options values);

    // Runs the request to its end; nothing when its caller has gone. Must be
    // called once, on the worker.
    boost::asio::awaitable<std::optional<forwarded_request>> run();

private:
    // A call without an end yet.
    struct running_call
    {
        upstream_call_id id;
        registered_upstream_ptr upstream;
        time_point started;
        bool is_released = false;
    };

    void apply(const std::vector<fan_out::action>& actions);
    void act(const fan_out::send& action);
    void act(const fan_out::release& action);
    void act(const fan_out::wake& action);
    void act(const fan_out::finish& action);
    void end_attempt(attempt_id attempt, upstream_result outcome);
    // False when the attempt's answer is not needed any more.
    bool is_wanted(attempt_id attempt) const;
    // Keeps the reply when it is one to pass on.
    attempt_outcome judge(attempt_id attempt, upstream_result& outcome);
    // Notes the end of an attempt for the log and the metrics.
    void record(const running_call& call, attempt_outcome end,
                std::string_view reason);
    void handle_caller_gone();
    void cancel_released();

    options chosen;
    retry_rule retries;
    // What every attempt sends.
    std::shared_ptr<const upstream_request> content;
    fan_out decisions;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer linger_timer;
    // Expires never; cancelled when the request has ended.
    boost::asio::steady_timer finished;
    std::map<attempt_id, running_call> calls;
    std::map<attempt_id, upstream_reply> replies;
    forwarded_request outcome;
    bool has_ended = false;
    bool is_caller_gone = false;
};

}

#endif
