#ifndef WISTERIAHATCH_TESTS_CORE_REQUEST_QUERY_SIMULATION_HPP
#define WISTERIAHATCH_TESTS_CORE_REQUEST_QUERY_SIMULATION_HPP

#include "core/process/service_state.hpp"
#include "core/property.hpp"
#include "core/request/query.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Counts what happened in the test cases, to show that they are not trivial.
struct query_statistics
{
    unsigned complete = 0;
    unsigned partial = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    unsigned second_plans = 0;
    unsigned ignored_messages = 0;
    unsigned deadline_ends = 0;
};

// Simulates a service with random shard maps and up to three concurrent queries
// with the same request id. Their attempts are answered late, twice, swapped,
// wrongly or never. Checks every rule that a query has to follow, and compares
// its answer with a reference answer that reads each shard in turn.
class query_simulation
{
public:
    query_simulation(choices& decisions, injected_fault fault,
                     query_statistics& statistics);
    void run();

private:
    struct sent_attempt
    {
        std::size_t query = 0;
        send_attempt send;
        time_point started;
        bool has_ended = false;
    };
    struct message
    {
        // Index in `sent`.
        std::size_t sent = 0;
        // A failure when empty.
        std::optional<search_reply> reply;
        error_kind kind = error_kind::internal;
    };
    struct running_query
    {
        std::unique_ptr<query> machine;
        time_point deadline;
        std::optional<time_point> timer;
        unsigned plans = 0;
        unsigned sent = 0;
        index_version version;
        // Replicas to which a sub-request for each shard was sent in the
        // current plan.
        std::map<std::string, std::set<std::string>> asked;
        bool is_finished = false;
    };

    void make_service();
    void make_queries();
    std::vector<row> rows_of(std::size_t query, index_version version,
                             const std::string& shard) const;
    search_reply true_reply(std::size_t sent_index) const;
    const group_spec& group_of(const std::string& shard,
                               index_version version) const;
    bool may_be_asked(const std::string& replica, index_version version) const;

    void apply(std::size_t query, std::vector<query_action> actions);
    void check_send(std::size_t query, const send_attempt& send);
    void answer_attempt(std::size_t sent_index);
    void check_answer(std::size_t query, const query_answer& answer);

    bool is_any_running() const;
    void deliver(std::size_t message_index);
    void advance(time_point to);
    void advance_to_next_timer();
    void disturb_replica();

    choices& decide;
    injected_fault fault;
    query_statistics& statistics;
    std::mt19937_64 random;
    time_point now{std::chrono::seconds(1000)};
    service_spec service;
    class_spec caller_class;
    upstream_table_ptr upstreams;
    // Versions that each replica actually holds.
    std::map<std::string, std::set<index_version>> held;
    std::unique_ptr<service_state> shared;
    // Expected hedge budget, in thousandths of a token.
    int millitokens = 0;
    std::vector<running_query> queries;
    std::vector<sent_attempt> sent;
    std::set<std::string> wire_ids;
    std::vector<message> pending_messages;
};

}

#endif
