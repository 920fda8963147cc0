#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_CHOICE_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_CHOICE_HPP

#include "core/process/upstream_registry.hpp"

#include <chrono>
#include <random>
#include <string_view>

namespace wisteriahatch
{

// Lowest value added to the score of an upstream in another failure domain,
// because traffic between failure domains is costly. It is added rather than
// multiplied so that a request goes to another domain as soon as it would wait
// in this one.
inline constexpr std::chrono::milliseconds min_other_domain_penalty{30};

// Added to the score of an upstream outside the subset to which this instance
// keeps connections. A request to it has to open a new connection, and so uses
// one that other instances may need.
inline constexpr std::chrono::milliseconds outside_subset_penalty{3};

// What a choice depends on, apart from the upstreams.
struct choice_context
{
    // Failure domain of this instance.
    std::string_view failure_domain;
    // Added to the score of upstreams in other failure domains.
    duration other_domain_penalty = min_other_domain_penalty;
};

// Returns the upstream of the group with the lowest score, or nullptr if there
// is none. Ejected upstreams are chosen only if there is no other, and leaving
// ones only after those. An upstream whose address now belongs to another one
// is never chosen.
registered_upstream_ptr choose_upstream(const upstream_group& group,
                                        const choice_context& context,
                                        time_point now,
                                        std::mt19937_64& random);

}

#endif
