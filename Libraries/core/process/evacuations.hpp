#ifndef WISTERIAHATCH_CORE_PROCESS_EVACUATIONS_HPP
#define WISTERIAHATCH_CORE_PROCESS_EVACUATIONS_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// The start or the end of the evacuation of a failure domain.
struct evacuation_change
{
    std::string failure_domain;
    bool is_evacuated = false;

    friend bool operator==(const evacuation_change&,
                           const evacuation_change&) = default;
};

// What is known of an evacuation that is in force.
struct evacuation
{
    // When this instance learned of it.
    time_point since;
    // Where this instance learned of it.
    std::string origin;
    // Set while the source, which was restored from a copy, does not list it.
    std::optional<time_point> held_until;
};

// The failure domains whose upstreams get no requests, as the operator has
// requested in the configuration source. Each mutator returns the changes that
// it has made. Does no I/O and reads no clock.
class evacuations
{
public:
    // How long an evacuation that a restored source does not list stays in
    // force, so that the operator can request it again. As long as the entries
    // of upstreams that had left are held back.
    static constexpr std::chrono::milliseconds hold_time{6000};

    using domain_map = std::map<std::string, evacuation, std::less<>>;

    // Applies a complete list of the evacuated domains. Evacuations that it
    // lacks end, except those that are held.
    std::vector<evacuation_change>
    replace_all(const std::vector<std::string>& failure_domains,
                const std::string& origin, time_point now);
    std::vector<evacuation_change> set(const std::string& failure_domain,
                                       bool is_evacuated,
                                       const std::string& origin,
                                       time_point now);
    // Records that the source may have returned to an older state: what is
    // known is held for `hold_time`, unless the source confirms or ends it.
    void handle_restoration(time_point now);
    // Ends the evacuations that were held and not confirmed in time.
    std::vector<evacuation_change> expire(time_point now);

    bool contains(std::string_view failure_domain) const;
    // When to call expire() next.
    std::optional<time_point> next_expiry() const;
    // The evacuated domains that the source lists, without held ones. Other
    // instances decide for themselves which evacuations they hold.
    std::vector<std::string> listed() const;
    // All evacuations in force, by failure domain.
    const domain_map& all() const;

private:
    // Ends the evacuations for which the predicate returns true.
    template <class Predicate>
    std::vector<evacuation_change> end_if(Predicate has_ended);

    domain_map domains;
};

}

#endif
