#include "core/request/query_simulation.hpp"

#include <doctest/doctest.h>
#include <ostream>

using namespace wisteriahatch;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t decisions = 250;

int passed(injected_fault fault, int cases, query_statistics& statistics,
           std::string& failure)
{
    return passed_cases(seed, cases, decisions, failure,
                        [&](choices decide)
                        { query_simulation(decide, fault, statistics).run(); });
}

}

// Guards against an answer that mixes the rows of two versions, requests or
// replies, a wrong list of shards, a query that never ends, and extra load
// beyond the budget.
TEST_CASE("queries agree with the reference answer under random disturbances")
{
    constexpr int cases = 20000;
    query_statistics statistics;
    std::string failure;
    const int passed_count =
        passed(injected_fault::none, cases, statistics, failure);
    INFO(failure);
    CHECK(passed_count == cases);
    MESSAGE("complete " << statistics.complete << ", partial "
                        << statistics.partial << ", hedges "
                        << statistics.hedges << ", retries "
                        << statistics.retries << ", second plans "
                        << statistics.second_plans << ", ended at the deadline "
                        << statistics.deadline_ends << ", ignored messages "
                        << statistics.ignored_messages);
    // The test proves nothing if one of these no longer occurs.
    for (const unsigned count :
         {statistics.complete, statistics.partial, statistics.hedges,
          statistics.retries, statistics.second_plans, statistics.deadline_ends,
          statistics.ignored_messages})
        CHECK(count >= 100);
}

// Guards against a property that holds for an incorrect query.
TEST_CASE("the property detects each injected fault")
{
    struct fault_row
    {
        injected_fault fault;
        std::string name;
        // The rule that the fault breaks.
        std::string rule;
    };
    const fault_row faults[] = {
        {injected_fault::skip_version_check, "skip_version_check",
         "rows equal"},
        {injected_fault::skip_request_id_check, "skip_request_id_check",
         "rows equal"},
        {injected_fault::merge_reply_twice, "merge_reply_twice", "rows equal"},
        {injected_fault::count_lacked_as_covered, "count_lacked_as_covered",
         "rows equal"},
        {injected_fault::ignore_hedge_budget, "ignore_hedge_budget",
         "hedge within budget"},
        {injected_fault::keep_rows_on_new_plan, "keep_rows_on_new_plan",
         "rows equal"},
        {injected_fault::plan_without_limit, "plan_without_limit",
         "one second plan"},
        {injected_fault::repeat_replica, "repeat_replica", "each replica once"},
        {injected_fault::ignore_deadline, "ignore_deadline",
         "timers without end"},
    };
    constexpr int max_cases = 20000;
    for (const auto& entry : faults)
    {
        query_statistics statistics;
        std::string failure;
        const int passed_count =
            passed(entry.fault, max_cases, statistics, failure);
        MESSAGE(entry.name << ": detected at case " << passed_count + 1);
        CHECK(passed_count < max_cases);
        CHECK(failure.find(entry.rule) != std::string::npos);
    }
}
