#ifndef WISTERIAHATCH_ENTRY_OWNER_CLIENT_HPP
#define WISTERIAHATCH_ENTRY_OWNER_CLIENT_HPP

#include "core/base/time.hpp"
#include "core/request/run_id.hpp"
#include "core/request/wire.hpp"

namespace wisteriahatch
{

// Asks the instance that a run id names to run the request; blocks until it
// answers or the deadline passes. The outcome is unknown when it can't be
// asked, because it may have run the request before.
run_answer ask_owner(const run_request& request, const run_id& id,
                     time_point deadline);

// The time left, in whole milliseconds.
std::chrono::milliseconds remaining_until(time_point deadline);

}

#endif
