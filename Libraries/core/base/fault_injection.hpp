#ifndef WISTERIAHATCH_CORE_BASE_FAULT_INJECTION_HPP
#define WISTERIAHATCH_CORE_BASE_FAULT_INJECTION_HPP

#include <cstdint>

namespace wisteriahatch
{

// A programming error that a test injects into a query, to show that the test's
// property detects it. Programs always use `none`.
enum class injected_fault : std::uint8_t
{
    none,
    // Merges a reply with another index version.
    skip_version_check,
    // Merges a reply to another request.
    skip_request_id_check,
    // Merges each reply twice.
    merge_reply_twice,
    // Lists lacked shards as covered.
    count_lacked_as_covered,
    // Hedges even if the budget denies it.
    ignore_hedge_budget,
    // Keeps the rows of the first index version in a second plan.
    keep_rows_on_new_plan,
    // Starts a new plan each time a version is lost.
    plan_without_limit,
    // Sends to a replica that has already failed for the same shard.
    repeat_replica,
    // Keeps waiting for replies after the deadline.
    ignore_deadline,
};

}

#endif
