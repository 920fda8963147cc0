#ifndef WISTERIAHATCH_CORE_REQUEST_FAN_OUT_HPP
#define WISTERIAHATCH_CORE_REQUEST_FAN_OUT_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/process/retry_budgets.hpp"
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

// How an attempt at one upstream ended.
enum class attempt_outcome : std::uint8_t
{
    // With an answer that may be given to the caller.
    answered,
    // Nothing was sent.
    unsent,
    // The upstream stated that it did not run the request.
    refused,
    // The request may have run, and there is no usable answer.
    failed,
};

std::string_view to_string(attempt_outcome end);

// How a request ended.
enum class fan_out_result : std::uint8_t
{
    // Enough legs are answered.
    answered,
    // No upstream ran the request, and none will.
    not_run,
    // An upstream may have run it; no answer can be had.
    failed,
    // The deadline passed after an upstream may have run it.
    timed_out,
};

std::string_view to_string(fan_out_result result);

// Sends one request to each of one or more services (its legs) and decides
// when to hedge, repeat, answer with the legs that are there, or give up. The
// bodies stay with the caller, who knows them by attempt. No I/O, no clock.
class fan_out
{
public:
    struct options
    {
        const upstream_registry* upstreams = nullptr;
        retry_budgets* budgets = nullptr;
        std::mt19937_64* random = nullptr;
        // The instance's own failure domain.
        std::string failure_domain;
        // The service of each leg.
        std::vector<std::string> services;
        retry_rule retries = retry_rule::idempotent;
        // Upstreams to which each leg may be sent.
        unsigned max_attempts = 1;
        // Smallest share of the legs that makes an answer.
        double min_coverage = 1;
        // When an answer that lacks legs is worth more than waiting on.
        time_point answer_by;
        time_point deadline;
        // A leg without an answer after this long is sent to a second upstream.
        duration hedge_delay{0};
    };

    // Send the leg to the upstream, then call handle_end.
    struct send
    {
        attempt_id attempt;
        std::size_t leg = 0;
        registered_upstream_ptr upstream;
        // True for all but the first send of a leg.
        bool is_repeat = false;
    };

    // The attempt's answer is not needed any more; it must not be reported.
    struct release
    {
        attempt_id attempt;
    };

    // Call handle_timer at this time; replaces the earlier timer.
    struct wake
    {
        time_point at;
    };

    // How far a leg came.
    struct leg_outcome
    {
        std::string service;
        std::optional<attempt_id> answer;
        unsigned sends = 0;
        // How the last attempt without an answer ended; empty while none has.
        std::optional<attempt_outcome> last_failure;
        // Attempts that still ran when the request ended.
        std::size_t running = 0;
    };

    // The request has ended; no action follows.
    struct finish
    {
        fan_out_result result = fan_out_result::failed;
        // In the order of the services.
        std::vector<leg_outcome> legs;
    };

    using action = std::variant<send, release, wake, finish>;

    // Sends of one leg that end unsent before the leg is given up.
    static constexpr unsigned max_unsent_attempts = 4;
    // Sends of one leg for each upstream that it may use: an upstream that
    // refuses some requests may take the next one.
    static constexpr unsigned max_sends_per_upstream = 2;

    explicit fan_out(options values);

    std::vector<action> start(time_point now);
    std::vector<action> handle_end(attempt_id attempt, attempt_outcome end,
                                   time_point now);
    // The attempt's first byte is about to be written. Until then it waits for
    // a connection, and can still be withdrawn.
    void handle_sent(attempt_id attempt);
    std::vector<action> handle_timer(time_point now);
    // The caller has gone: releases every attempt. No finish follows.
    std::vector<action> abandon();

    // Sends beyond the first of each leg so far.
    unsigned repeats() const;
    // Sends that the budget of repeats did not allow.
    unsigned denied_repeats() const;

private:
    // An upstream that was chosen for a leg.
    struct tried_upstream
    {
        std::string id;
        attempt_id last_attempt;
        // False when nothing has reached it.
        bool is_used = true;
    };

    struct leg
    {
        std::string service;
        std::vector<tried_upstream> tried;
        std::vector<attempt_id> running;
        std::optional<attempt_id> answer;
        // Attempts that were sent, or are about to be.
        unsigned sends = 0;
        unsigned unsent = 0;
        std::optional<attempt_outcome> last_failure;
        bool is_given_up = false;
        time_point hedge_at = time_point::max();
    };

    // Whether a send draws on the budget of repeats.
    enum class payment : std::uint8_t
    {
        free,
        from_budget,
    };

    bool is_open(const leg& each) const;
    // Returns the upstream to which the leg goes next, or nullptr.
    registered_upstream_ptr choose(const leg& owner, time_point now) const;
    bool may_use(const leg& owner, const std::string& id,
                 bool is_new_wanted) const;
    bool try_send(std::size_t index, payment paid, time_point now);
    void retry_or_give_up(std::size_t index, attempt_id attempt,
                          attempt_outcome end, time_point now);
    void send_hedges(time_point now);
    // Ends the request when its legs allow or the time demands it.
    void conclude(time_point now);
    bool is_covered(std::size_t legs_answered) const;
    // Whether an upstream may have run the request, or may still run it.
    bool may_run() const;
    void end(fan_out_result result);
    std::vector<action> take_actions(time_point now);

    options chosen;
    std::vector<leg> legs;
    // An attempt, by id - 1.
    struct known_attempt
    {
        std::size_t leg = 0;
        bool is_sent = false;
    };

    std::vector<known_attempt> attempts;
    std::vector<action> actions;
    unsigned repeat_count = 0;
    unsigned denied_count = 0;
    bool may_have_run = false;
    bool has_ended = false;
};

}

#endif
