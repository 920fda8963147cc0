#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_CHOICE_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_CHOICE_HPP

#include "core/process/upstream_registry.hpp"

#include <chrono>
#include <random>
#include <string_view>

namespace wisteriahatch
{

// Added to the expected time of an upstream in another failure domain: bytes
// between domains cost. An addition, unlike a factor, lets a request go to
// another domain as soon as the own one would keep it waiting.
inline constexpr std::chrono::milliseconds other_domain_penalty{30};

// Added to the expected time of an upstream to which this instance keeps no
// connection: a new one has to be opened, and takes one of those that other
// instances may need.
inline constexpr std::chrono::milliseconds outside_subset_penalty{3};

// Returns the upstream of the group that is expected to answer first, or
// nullptr when there is none. Upstreams that leave, and after them ejected
// ones, are chosen only when there is no other; one whose address belongs to
// another upstream now is never chosen.
registered_upstream_ptr choose_upstream(const upstream_group& group,
                                        std::string_view failure_domain,
                                        time_point now,
                                        std::mt19937_64& random);

}

#endif
