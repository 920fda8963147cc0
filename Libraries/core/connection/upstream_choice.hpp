#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_CHOICE_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_CHOICE_HPP

#include "core/process/upstream_registry.hpp"

#include <random>
#include <string_view>

namespace wisteriahatch
{

// Score of an upstream in another failure domain, as a multiple of its own:
// bytes between domains cost, and the way is longer.
inline constexpr double other_domain_factor = 1.6;

// Returns the upstream of the group that is expected to answer first, or
// nullptr for an empty group. Upstreams that leave, and after them ejected
// ones, are chosen only when there is no other.
registered_upstream_ptr choose_upstream(const upstream_group& group,
                                        std::string_view failure_domain,
                                        time_point now,
                                        std::mt19937_64& random);

}

#endif
