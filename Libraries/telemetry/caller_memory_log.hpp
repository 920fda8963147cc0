#ifndef WISTERIAHATCH_TELEMETRY_CALLER_MEMORY_LOG_HPP
#define WISTERIAHATCH_TELEMETRY_CALLER_MEMORY_LOG_HPP

#include "core/connection/caller_memory.hpp"

#include <memory>

namespace wisteriahatch
{

// Returns an account with this limit that logs dropped connections.
std::shared_ptr<caller_memory> make_logged_caller_memory(std::size_t max_bytes);

}

#endif
