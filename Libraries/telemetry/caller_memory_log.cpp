#include "telemetry/caller_memory_log.hpp"

#include "telemetry/log.hpp"

#include <string>

namespace wisteriahatch
{

std::shared_ptr<caller_memory> make_logged_caller_memory(std::size_t max_bytes)
{
    return std::make_shared<caller_memory>(caller_memory::options{
        .max_bytes = max_bytes,
        .handle_drops = [max_bytes](const caller_memory::counts& totals)
        {
            log_event(log_level::warning, "callers_dropped",
                      {{"held_bytes", std::to_string(totals.held_bytes)},
                       {"max_bytes", std::to_string(max_bytes)},
                       {"dropped", std::to_string(totals.dropped)},
                       {"displaced", std::to_string(totals.displaced)}});
        }});
}

}
