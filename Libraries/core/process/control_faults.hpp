#ifndef WISTERIAHATCH_CORE_PROCESS_CONTROL_FAULTS_HPP
#define WISTERIAHATCH_CORE_PROCESS_CONTROL_FAULTS_HPP

#include <cstdint>

namespace wisteriahatch
{

// Faults that tests inject into the state machines to verify that an invariant
// detects each of them. Programs always use `none`.
enum class control_fault : std::uint8_t
{
    none,
    // Run a request at this instance when the id's owner is unreachable.
    run_without_ownership,
    // Report not_run for a request whose bytes may have reached an upstream.
    not_run_after_send,
    // Expire run records one second after their id was issued.
    expire_records_early,
    // Accept a document whose key is lower than that of the active document.
    accept_lower_keys,
    // Compare only addresses when deciding whether an id is owned.
    ignore_incarnation,
    // Keep queued runs after a pause instead of cancelling them.
    skip_cancellation,
};

}

#endif
