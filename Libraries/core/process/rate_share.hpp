#ifndef WISTERIAHATCH_CORE_PROCESS_RATE_SHARE_HPP
#define WISTERIAHATCH_CORE_PROCESS_RATE_SHARE_HPP

#include "core/process/fleet_size_estimate.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// An instance among which a rate limit is divided.
struct rate_limit_member
{
    std::string address;
    std::string failure_domain;

    friend bool operator==(const rate_limit_member&,
                           const rate_limit_member&) = default;
};

// The instances among which rate limits are divided, as far as one of them
// knows.
struct rate_limit_fleet
{
    fleet_size size;
    // Address of this instance.
    std::string own_address;
    // The instances that are reachable now, this one included.
    std::vector<rate_limit_member> live;

    friend bool operator==(const rate_limit_fleet&,
                           const rate_limit_fleet&) = default;
};

// Part of a limit that the shares of all instances add up to.
inline constexpr double usable_rate_ratio = 0.85;
// Each holder may send one request at any time, however small its share is. A
// limit is therefore divided among at most this many instances for each request
// a second, and a few more, so that a low limit is not held by one that has no
// use for it.
inline constexpr double holders_per_rate = 1.25;
inline constexpr std::size_t extra_holders = 2;
// Requests a second that are sent to an upstream with a lower limit, because
// only a reply shows that the limit has ended.
inline constexpr double min_limit = 0.5;
// Holders are chosen from the upstream's failure domain with this preference.
inline constexpr double same_domain_weight = 4;
// Bounds of an instance's demand relative to the average, so that one with no
// demand yet keeps a part of its share.
inline constexpr double min_demand_ratio = 0.1;

// Returns the number of instances among which a limit is divided.
std::size_t holder_count(double per_second, std::size_t instances);

// Returns whether this instance has a share of the upstream's limit. Instances
// with the same members agree. When only part of the fleet is reachable, only a
// part of the shares is used, because the others may use theirs. There is no
// share while the view of the fleet is settling.
bool is_holder(const rate_limit_fleet& fleet, std::string_view upstream,
               std::string_view failure_domain, double per_second);

// Returns the share of a holder in requests a second. `demand_ratio` is its
// demand relative to the average of the holders.
double holder_share(const rate_limit_fleet& fleet, double per_second,
                    double demand_ratio);

// What one-second bound holds for a cold upstream, over all instances: its
// service's rate times `overload`, and `slack` requests more.
struct warm_up_bound
{
    double overload = 1;
    double slack = 0;

    friend bool operator==(const warm_up_bound&,
                           const warm_up_bound&) = default;
};

// Part of the bound that is used. The rest is left for instances that do not
// know yet that the upstream is cold, for those that disagree about the holders
// while members join, and for sends that are delayed before they arrive.
inline constexpr double usable_warm_up_ratio = 0.8;

// A limit on the requests to a cold upstream in every second, divided among
// instances. A holder may have one request saved up, and all of them may send
// it in the same second as their shares. Half of the usable bound is therefore
// spent on the number of holders and half on the rate.
struct warm_up_limit
{
    // Number of instances with a share.
    std::size_t holders = 0;
    // Requests a second of each.
    double share = 0;
};

// Divides the bound of a service with this rate. Shares do not depend on
// demand, because a second is short compared with the time in which demands
// are exchanged.
warm_up_limit make_warm_up_limit(const warm_up_bound& bound, double per_second,
                                 const rate_limit_fleet& fleet);

// Returns whether this instance is one of the holders. Of a part of the fleet,
// so many are holders that all parts together have no more than `holders`. An
// instance that sees no other has no share unless it is the whole fleet.
bool is_warm_up_holder(const rate_limit_fleet& fleet, std::string_view upstream,
                       std::string_view failure_domain, std::size_t holders);

}

#endif
