#ifndef WISTERIAHATCH_CORE_REQUEST_RUN_REGISTRY_HPP
#define WISTERIAHATCH_CORE_REQUEST_RUN_REGISTRY_HPP

#include "core/base/error.hpp"
#include "core/base/time.hpp"
#include "core/request/run_id.hpp"

#include <cstdint>
#include <map>
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
    };

    explicit run_registry(options values);

    // Issues an id; overloaded when max_records ids are live.
    result<run_id> issue(time_point now);
    // True when the id names this instance and incarnation.
    bool owns(const run_id& id) const;
    // Takes an arrival. The id must be owned.
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
    // Seals every id that is not yet sent, as after a pause.
    std::vector<run_action> seal_unsent(time_point now);
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

    options chosen;
    std::uint64_t next_sequence = 1;
    std::map<std::uint64_t, record> records;
};

}

#endif
