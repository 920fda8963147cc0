#ifndef WISTERIAHATCH_CORE_REQUEST_RUN_REGISTRY_HPP
#define WISTERIAHATCH_CORE_REQUEST_RUN_REGISTRY_HPP

#include "core/base/error.hpp"
#include "core/base/time.hpp"
#include "core/process/control_faults.hpp"
#include "core/request/run_id.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wisteriahatch
{

// What a caller is told of a non-idempotent request.
enum class run_outcome : std::uint8_t
{
    done,
    not_run,
    unknown,
};

// Returns "done", "not_run" or "unknown".
std::string_view to_string(run_outcome outcome);

// One arrival of a run at its owner.
struct run_submission
{
    run_id id;
    // Identifies the arrival, so that its answer reaches it.
    std::uint64_t waiter = 0;
    std::string service;
    std::string caller_class;
    std::string payload;
    time_point deadline;
};

// Ask a replica to run the request. Exactly one dispatch of an id is
// outstanding at a time; the shell chooses the replica.
struct dispatch_run
{
    run_id id;
    // 1 for the first attempt; a later one follows only after proof that the
    // earlier one did not start.
    unsigned attempt = 1;
    std::string service;
    std::string caller_class;
    std::string payload;
    time_point deadline;
};

// Answer one arrival.
struct answer_run
{
    std::uint64_t waiter = 0;
    run_id id;
    run_outcome outcome = run_outcome::unknown;
    // The upstream's result when the outcome is done.
    std::string reply;
};

using run_action = std::variant<dispatch_run, answer_run>;

// What is known about a dispatch that did not end in a reply.
enum class run_failure : std::uint8_t
{
    // No byte was handed to a connection, or connecting failed.
    never_sent,
    // The upstream's reply with this request id says it did not start.
    refused_by_upstream,
    // Anything else after the first byte.
    lost_after_send,
};

// Owner's record of non-idempotent requests: at most one execution per id and
// outcomes that never change once `done` or `not_run` was told. No I/O and no
// clock; the control thread owns it.
class run_registry
{
public:
    struct options
    {
        // Peer address of this instance.
        std::string instance;
        incarnation self;
        // Records and ids live this long after the id was issued.
        std::chrono::minutes lifetime{15};
        unsigned max_attempts = 3;
        // Ids issued and not yet expired; issuing more is refused.
        std::size_t max_records = 100000;
        // For tests only.
        control_fault fault = control_fault::none;
    };

    explicit run_registry(options values);

    // Issues an id; overloaded when max_records ids are live.
    result<run_id> issue(time_point now);
    // True when the id names this instance and incarnation.
    bool owns(const run_id& id) const;
    // True when this incarnation issued the id, even if it has expired since.
    // An owned id that was never issued is an invalid_run_id.
    bool was_issued(const run_id& id) const;
    // Takes an arrival. The id must be owned. An id that expired or was never
    // issued is answered with unknown and never runs.
    std::vector<run_action> submit(const run_submission& submission,
                                   time_point now);
    // The first byte is about to be written; false when the id was sealed
    // meanwhile, in which case nothing may be sent.
    bool confirm_send(const run_id& id, unsigned attempt, time_point now);
    std::vector<run_action> handle_reply(const run_id& id, unsigned attempt,
                                         std::string reply, time_point now);
    std::vector<run_action> handle_failure(const run_id& id, unsigned attempt,
                                           run_failure failure, time_point now);
    // Seals what passed its deadline unsent, answers waiters past their
    // deadline, forgets expired records.
    std::vector<run_action> handle_timer(time_point now);
    // Seals every submitted id that is not yet sent, as after a pause. Ids
    // that were issued and not submitted stay usable.
    std::vector<run_action> cancel_unsent(time_point now);
    // Takes an arrival that may not run, as in the settling time after a
    // pause or at shutdown: seals the id unless it was sent, and answers.
    std::vector<run_action>
    submit_without_dispatch(const run_submission& submission, time_point now);
    // Answers an arrival whose owner could not be reached, or whose owner's
    // address answered with another incarnation: always unknown, because the
    // owner may have run it.
    std::vector<run_action>
    handle_unreachable_owner(const run_submission& submission, time_point now);
    // Arrivals not yet answered.
    std::size_t waiting() const;

private:
    enum class phase : std::uint8_t
    {
        issued,
        waiting,
        sent,
        done,
        not_run,
        unknown,
    };

    struct waiter
    {
        std::uint64_t token = 0;
        time_point deadline;
    };

    struct record
    {
        phase current = phase::issued;
        unsigned attempt = 0;
        time_point expires;
        time_point deadline;
        std::string service;
        std::string caller_class;
        std::string payload;
        std::string reply;
        std::vector<waiter> waiters;
    };

    using iterator = std::map<std::uint64_t, record>::iterator;

    // Returns the live record, or end() when it is expired or not owned.
    iterator find(const run_id& id, time_point now);
    run_id id_of(iterator entry) const;
    // Dispatches the next attempt.
    void dispatch(iterator entry, std::vector<run_action>& actions);
    // Enters a phase without further dispatches and answers every waiter.
    void settle(iterator entry, phase reached,
                std::vector<run_action>& actions);
    void answer_waiters(iterator entry, std::vector<run_action>& actions);
    void expire(time_point now, std::vector<run_action>& actions);

    options chosen;
    std::uint64_t next_sequence = 1;
    // In order of issue, which is also the order of expiry.
    std::map<std::uint64_t, record> records;
    // Records that are waiting or have waiters, which the timer looks at.
    std::set<std::uint64_t> active;
};

}

#endif
