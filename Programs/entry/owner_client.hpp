#ifndef WISTERIAHATCH_ENTRY_OWNER_CLIENT_HPP
#define WISTERIAHATCH_ENTRY_OWNER_CLIENT_HPP

#include "core/base/time.hpp"
#include "core/request/run_id.hpp"
#include "core/request/wire.hpp"

namespace wisteriahatch
{

// Forwards a request to its owner, the instance that issued its run id, and
// blocks until the owner answers or the deadline passes. The outcome is unknown
// when there is no valid answer, because the owner may have run the request.
run_answer forward_to_owner(const run_request& request, const run_id& id,
                            time_point deadline);

// Returns the time until the deadline, in whole milliseconds.
std::chrono::milliseconds remaining_until(time_point deadline);

}

#endif
