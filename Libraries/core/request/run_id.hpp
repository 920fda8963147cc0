#ifndef WISTERIAHATCH_CORE_REQUEST_RUN_ID_HPP
#define WISTERIAHATCH_CORE_REQUEST_RUN_ID_HPP

#include "core/base/error.hpp"
#include "core/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Identifies one non-idempotent request, and the only instance and incarnation
// that may run it.
struct run_id
{
    // Peer address of the instance, "IP:port".
    std::string instance;
    incarnation owner;
    // Starts at 1 in each incarnation.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const run_id&, const run_id&) = default;
};

// Returns the text form "IP:port/incarnation in hex/sequence".
std::string to_string(const run_id& id);

// Parses the text form. Error: invalid_run_id.
result<run_id> parse_run_id(std::string_view text);

}

#endif
