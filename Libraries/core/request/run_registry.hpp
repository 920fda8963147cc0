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

// The outcome of a non-idempotent request, as reported to its caller.
enum class run_outcome : std::uint8_t
{
    done,
    not_run,
    unknown,
};

// Returns "done", "not_run" or "unknown".
std::string_view to_string(run_outcome outcome);

// A submission of a run to its owner. A run may be submitted more than once.
struct run_submission
{
    run_id id;
    // Identifies the submission that an answer_run action answers.
    std::uint64_t waiter = 0;
    std::string service;
    std::string caller_class;
    std::string payload;
    time_point deadline;
};

// Send the request to a replica, which the caller of run_registry chooses. At
// most one dispatch of an id is outstanding at a time.
struct dispatch_run
{
    run_id id;
    // 1 for the first attempt. A later attempt follows only after proof that
    // the previous one did not start.
    unsigned attempt = 1;
    std::string service;
    std::string caller_class;
    std::string payload;
    time_point deadline;
};

// Answer one submission.
struct answer_run
{
    std::uint64_t waiter = 0;
    run_id id;
    run_outcome outcome = run_outcome::unknown;
    // The upstream's result if the outcome is done.
    std::string reply;
};

using run_action = std::variant<dispatch_run, answer_run>;

// Why a dispatch ended without a result.
enum class run_failure : std::uint8_t
{
    // No byte was written to a connection, or connecting failed.
    never_sent,
    // The upstream replied, with this request id, that the run did not start.
    refused_by_upstream,
    // Any other failure after the first byte was written.
    lost_after_send,
};

// Records the non-idempotent requests that this instance owns. Guarantees at
// most one execution per id, and that an outcome of `done` or `not_run` never
// changes once it was reported. Does no I/O and reads no clock. Not
// thread-safe.
class run_registry
{
public:
    struct options
    {
        // Peer address of this instance.
        std::string instance;
        incarnation self;
        // An id and its record expire this long after the id was issued.
        std::chrono::minutes lifetime{15};
        unsigned max_attempts = 3;
        // Maximum number of issued ids that have not expired.
        std::size_t max_records = 100000;
        // Only tests set a fault.
        control_fault fault = control_fault::none;
    };

    explicit run_registry(options opts);

    // Issues an id. Error: overloaded, if max_records ids have not expired.
    result<run_id> issue(time_point now);
    // True if the id names this instance and incarnation.
    bool owns(const run_id& id) const;
    // True if this incarnation issued the id, even if it has expired since. An
    // owned id that was never issued is invalid.
    bool was_issued(const run_id& id) const;
    // Handles a submission, whose id this instance must own. If the id has
    // expired or was never issued, the answer is unknown and nothing is run.
    std::vector<run_action> submit(const run_submission& submission,
                                   time_point now);
    // Call before the first byte is written. Returns false if the run was
    // cancelled in the meantime, in which case nothing may be sent.
    bool confirm_send(const run_id& id, unsigned attempt, time_point now);
    std::vector<run_action> handle_reply(const run_id& id, unsigned attempt,
                                         std::string reply, time_point now);
    std::vector<run_action> handle_failure(const run_id& id, unsigned attempt,
                                           run_failure failure, time_point now);
    // Cancels unsent runs past their deadline, answers submissions past their
    // deadline, and removes expired records.
    std::vector<run_action> handle_timer(time_point now);
    // Cancels every submitted run that was not yet sent, for example after the
    // process was paused. Ids that were issued but not submitted stay valid.
    std::vector<run_action> cancel_unsent(time_point now);
    // Handles a submission that must not cause a dispatch, because of a recent
    // pause or a shutdown: cancels the run unless it was sent.
    std::vector<run_action>
    submit_without_dispatch(const run_submission& submission, time_point now);
    // Answers a submission whose owner could not be reached, or whose owner's
    // address has another incarnation. The outcome is always unknown, because
    // the owner may have run it.
    std::vector<run_action>
    handle_unreachable_owner(const run_submission& submission, time_point now);
    // Number of submissions not yet answered.
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

    // Returns the record, or end() if it is missing, expired or not owned.
    iterator find(const run_id& id, time_point now);
    run_id id_of(iterator entry) const;
    // Dispatches the next attempt.
    void dispatch(iterator entry, std::vector<run_action>& actions);
    // Enters a phase from which nothing is dispatched, and answers all waiters.
    void settle(iterator entry, phase reached,
                std::vector<run_action>& actions);
    void answer_waiters(iterator entry, std::vector<run_action>& actions);
    void expire(time_point now, std::vector<run_action>& actions);

    options config;
    std::uint64_t next_sequence = 1;
    // In order of issue, which is also the order of expiry.
    std::map<std::uint64_t, record> records;
    // Sequences of the records that wait to be sent or have waiters, which are
    // those that the timer checks.
    std::set<std::uint64_t> active;
};

}

#endif
