#ifndef WISTERIAHATCH_CORE_VERSION_OWNERSHIP_HPP
#define WISTERIAHATCH_CORE_VERSION_OWNERSHIP_HPP

#include "core/version/document.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// An entry instance that may be chosen to connect to a server.
struct owner_candidate
{
    std::string name;
    std::string failure_domain;
};

// How instances share a server's connections.
struct connection_plan
{
    // True when every instance may connect (direct mode).
    bool is_direct = true;
    // Instances that may connect to one server.
    unsigned owner_count = 0;
    // Connections that each owner may open to one server.
    unsigned connections_per_owner = 1;
};

// Computes the plan for a service from the connection limit of its servers and
// the maximum number of live instances. Direct mode requires a share of at
// least one connection per instance; the total then never exceeds the limit,
// even if instances disagree about the membership.
connection_plan plan_connections(const service_spec& service,
                                 unsigned max_entry_instances);

// Returns the rendezvous hashing weight (XXH3) of a candidate for a key. The
// candidates with the highest weights win.
std::uint64_t rendezvous_weight(std::string_view candidate,
                                std::string_view key);

// Returns the owners of a server, highest weight first, spread over failure
// domains as far as the candidates allow.
std::vector<std::string> owners_of(std::string_view server, unsigned count,
                                   std::span<const owner_candidate> candidates);

}

#endif
