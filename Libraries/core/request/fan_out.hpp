#ifndef WISTERIAHATCH_CORE_REQUEST_FAN_OUT_HPP
#define WISTERIAHATCH_CORE_REQUEST_FAN_OUT_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/connection/upstream_choice.hpp"
#include "core/process/retry_budgets.hpp"
#include "core/process/upstream_rate_limits.hpp"
#include "core/process/upstream_registry.hpp"
#include "core/version/route_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriahatch
{

// The outcome of one attempt at one upstream.
enum class attempt_outcome : std::uint8_t
{
    // The upstream's answer can be passed on to the caller.
    answered,
    // No byte of the request was sent.
    unsent,
    // The upstream replied that it did not run the request.
    refused,
    // The upstream may have run the request, but there is no usable answer.
    failed,
};

std::string_view to_string(attempt_outcome outcome);

// The result of a request to all its services.
enum class fan_out_result : std::uint8_t
{
    // Enough legs were answered to meet the coverage floor.
    answered,
    // No upstream has run the request, and none will run it.
    not_run,
    // An upstream may have run the request, and too few legs can still answer.
    failed,
    // The deadline passed, and an upstream may have run the request.
    timed_out,
};

std::string_view to_string(fan_out_result result);

// Sends a request to one or more services, each of which is a leg of the
// request. Decides when to hedge, when to retry, when to answer with the legs
// received so far and when to give up. The caller of this class stores the
// bodies of the answers by attempt id. Does no I/O and reads no clock.
class fan_out
{
public:
    struct options
    {
        const upstream_registry* upstreams = nullptr;
        retry_budgets* budgets = nullptr;
        upstream_rate_limits* rate_limits = nullptr;
        std::mt19937_64* random = nullptr;
        // Failure domain of this instance.
        std::string failure_domain;
        // The failure domains whose upstreams get no requests. May be null.
        const evacuations* evacuated = nullptr;
        // Added to the scores of upstreams in other failure domains.
        duration other_domain_penalty = min_other_domain_penalty;
        // The service of each leg.
        std::vector<std::string> services;
        retry_policy retries = retry_policy::idempotent;
        // Maximum number of upstreams per leg.
        unsigned max_attempts = 1;
        // Minimum fraction of answered legs, 0 to 1, for an answer.
        double min_coverage = 1;
        // From this time on a partial answer that meets `min_coverage` is
        // returned without waiting for the other legs.
        time_point answer_by;
        time_point deadline;
        // A leg that has no answer after this time is hedged at another
        // upstream.
        duration hedge_delay{0};
        // Repeats of each retry budget that are left to more urgent requests.
        double kept_repeats = 0;
    };

    // Send the leg to the upstream, and call handle_end with the outcome.
    struct send
    {
        attempt_id attempt;
        std::size_t leg = 0;
        registered_upstream_ptr upstream;
        // True for all but the first send of a leg.
        bool is_repeat = false;
        // True when an earlier attempt of the leg was sent to this upstream.
        // Replies to both carry the same request id, so this attempt needs a
        // connection that has not carried the earlier one.
        bool is_upstream_repeated = false;
    };

    // The attempt is no longer needed. Its outcome must not be reported.
    struct release
    {
        attempt_id attempt;
    };

    // Call handle_timer at this time. Replaces the previous timer.
    struct start_timer
    {
        time_point at;
    };

    // The state of a leg when the request ended.
    struct leg_outcome
    {
        std::string service;
        std::optional<attempt_id> answer;
        unsigned sends = 0;
        // Outcome of the last attempt that ended without an answer, if any.
        std::optional<attempt_outcome> last_failure;
        // Attempts still running when the request ended.
        std::size_t running = 0;
    };

    // The request has ended. No further action follows.
    struct finish
    {
        fan_out_result result = fan_out_result::failed;
        // In the order of the services.
        std::vector<leg_outcome> legs;
    };

    using action = std::variant<send, release, start_timer, finish>;

    // A leg is given up after this many attempts that were never sent.
    static constexpr unsigned max_unsent_attempts = 4;
    // A hedge helps a leg that is slower than the others. While a larger part
    // of the legs is without an answer, the delay is this instance's own, and
    // hedges would only add to it.
    static constexpr double max_straggler_ratio = 1.0 / 3;
    // With few legs, this many may be stragglers at the same time.
    static constexpr std::size_t min_stragglers = 2;
    // Hedges are withheld for at most this many times the hedge delay.
    static constexpr unsigned max_withheld_delays = 2;
    // Each leg may be sent this many times per allowed upstream, because an
    // upstream that refuses some requests may accept the next one.
    static constexpr unsigned max_sends_per_upstream = 2;

    explicit fan_out(options opts);

    std::vector<action> start(time_point now);
    std::vector<action> handle_end(attempt_id attempt, attempt_outcome outcome,
                                   time_point now);
    // Records that the first byte of the attempt is about to be written. An
    // attempt that is still waiting for a connection can be cancelled without
    // the upstream running it.
    void handle_sent(attempt_id attempt);
    // True when the upstream's failure domain is evacuated.
    bool is_evacuated(const upstream_spec& upstream) const;
    std::vector<action> handle_timer(time_point now);
    // Ends the request as if its deadline were now, with the legs that are
    // answered if they meet the coverage floor.
    std::vector<action> expire(time_point now);
    // Releases every attempt after the caller has disconnected. Returns no
    // finish action.
    std::vector<action> abandon();

    // Retries and hedges sent so far.
    unsigned repeats() const;
    // Retries and hedges that the retry budget did not allow.
    unsigned denied_repeats() const;
    // Upstreams that were passed over because this instance's share of their
    // rate limit was used up.
    unsigned withheld_sends() const;
    // When the first of these upstreams, or of those that want a pause, may be
    // sent a request again; empty when there is none.
    std::optional<time_point> next_allowed_send() const;

private:
    // An upstream that was chosen for a leg.
    struct tried_upstream
    {
        std::string id;
        attempt_id last_attempt;
        // False when no byte of an attempt has been sent to the upstream.
        bool is_used = true;
    };

    struct leg
    {
        std::string service;
        std::vector<tried_upstream> tried;
        std::vector<attempt_id> running;
        std::optional<attempt_id> answer;
        // Attempts that were sent or may still be sent.
        unsigned sends = 0;
        unsigned unsent = 0;
        std::optional<attempt_outcome> last_failure;
        bool is_given_up = false;
        time_point hedge_at = time_point::max();
    };

    choice_context make_choice_context() const;
    bool is_open(const leg& each) const;
    // Returns the upstream for the leg's next attempt, or nullptr.
    registered_upstream_ptr choose(const leg& current_leg, time_point now);
    // Returns the best of the candidates whose rate limit allows a send, or
    // nullptr.
    registered_upstream_ptr choose_allowed(upstream_group candidates,
                                           time_point now);
    bool may_use(const leg& current_leg, const std::string& id,
                 bool is_new_wanted) const;
    // Sends the leg to an upstream, if there is one and the retry budget allows
    // a repeat for this purpose. Without a purpose the send is not charged.
    bool try_send(std::size_t index, std::optional<repeat_purpose> purpose,
                  time_point now);
    // Returns what a retry of a leg is for whose attempts have all failed.
    repeat_purpose retry_purpose() const;
    std::size_t answered_legs() const;
    void retry_or_give_up(std::size_t index, attempt_id attempt,
                          attempt_outcome outcome, time_point now);
    void send_hedges(time_point now);
    // True while more legs are open than can be stragglers.
    bool are_hedges_withheld(time_point now) const;
    std::size_t open_legs() const;
    // Ends the request when enough legs are answered, when too few can still
    // answer, or when the deadline has passed.
    void end_if_decided(time_point now);
    bool is_covered(std::size_t legs_answered) const;
    // True when an upstream may have run the request or may still run it.
    bool may_run() const;
    void end(fan_out_result result);
    std::vector<action> take_actions(time_point now);

    options config;
    std::vector<leg> legs;
    // When hedges are no longer withheld, however many legs are open.
    time_point hedges_released_at;
    struct attempt_record
    {
        std::size_t leg = 0;
        bool is_sent = false;
    };

    // Indexed by attempt id - 1.
    std::vector<attempt_record> attempts;
    std::vector<action> actions;
    unsigned repeat_count = 0;
    unsigned denied_count = 0;
    unsigned withheld_count = 0;
    std::optional<time_point> allowed_at;
    bool may_have_run = false;
    bool has_ended = false;
};

}

#endif
