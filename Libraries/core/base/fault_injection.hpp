#ifndef WISTERIAHATCH_CORE_BASE_FAULT_INJECTION_HPP
#define WISTERIAHATCH_CORE_BASE_FAULT_INJECTION_HPP

#include <cstdint>

namespace wisteriahatch
{

// A programming error that a test puts into a query on purpose, to show that
// the test's property notices it. Programs always use `none`.
enum class injected_fault : std::uint8_t
{
    none,
    // Merges a reply of another index version.
    skip_version_check,
    // Merges a reply to another request.
    skip_request_id_check,
    // Merges each reply twice.
    merge_reply_twice,
    // Lists lacked shards as covered.
    count_lacked_as_covered,
    // Hedges without spending from the budget.
    ignore_hedge_budget,
    // Keeps the rows of the earlier index version when planning again.
    keep_rows_on_new_plan,
    // Plans again as often as a version is lost.
    plan_without_limit,
    // Asks a replica again that failed for the same shard.
    repeat_replica,
    // Waits for late replies after the deadline.
    ignore_deadline,
};

}

#endif
