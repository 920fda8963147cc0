#ifndef WISTERIAHATCH_CORE_PROCESS_UPSTREAM_RATE_LIMITS_HPP
#define WISTERIAHATCH_CORE_PROCESS_UPSTREAM_RATE_LIMITS_HPP

#include "core/base/time.hpp"
#include "core/process/rate_limit_report.hpp"
#include "core/process/rate_share.hpp"
#include "core/process/upstream_registry.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// Whether a send is the first of its leg.
enum class send_kind : std::uint8_t
{
    first,
    repeat,
};

// How this instance has used an upstream with a rate limit since the last call
// of take_use().
struct rate_limit_use
{
    std::string upstream;
    // Requests a second that the upstream takes from all instances together.
    double per_second = 0;
    // The part of them that this instance may send.
    double share = 0;
    unsigned first_sends = 0;
    unsigned repeats = 0;
    // Sends that the share did not cover.
    unsigned withheld = 0;
};

// The request rates to which upstreams ask the fleet to limit itself, and this
// instance's share of each. The shares add up to less than the limit without
// shared state: every instance computes its own from the members and demands
// that it knows; see rate_share. Does no I/O and reads no clock. Not
// thread-safe.
class upstream_rate_limits
{
public:
    // Upstreams with a limit beyond this number are ignored.
    static constexpr std::size_t max_upstreams = 4096;
    // A statement of an upstream is forgotten after this time. It is longer
    // than gossip takes to reach 4,900 instances, because those without a share
    // hear of the upstream from the others only.
    static constexpr std::chrono::seconds statement_lifetime{30};
    // Time over which the demand for an upstream is averaged.
    static constexpr std::chrono::seconds demand_window{4};
    // Demands of other instances are used for this long.
    static constexpr std::chrono::seconds peer_demand_lifetime{15};
    // Demands of other instances that are kept for each upstream.
    static constexpr std::size_t max_peer_demands = 64;
    // An unused share is saved up for this long, but never less than one
    // request.
    static constexpr std::chrono::milliseconds max_saved_time{250};

    // Added to the age of a report for its way between two instances. Without
    // it a statement would look newer each time it is passed on, and could
    // outlive a later one.
    static constexpr std::chrono::milliseconds transit_allowance{20};

    // Records what an upstream has stated, unless a later statement is known.
    // Returns whether the limit has changed.
    bool record(const rate_limit_report& report, time_point now);
    // Records what another instance reported. Returns whether the limit has
    // changed.
    bool merge(rate_limit_report report, std::string_view reporter,
               time_point now);
    // Returns up to `max_reports` reports for another instance. Successive
    // calls take turns through all upstreams.
    std::vector<rate_limit_report> reports(std::size_t max_reports,
                                           time_point now);
    // Sets the instances that share the limits.
    void set_fleet(rate_limit_fleet instances);
    // Forgets upstreams whose last statement is too old.
    void expire(time_point now);

    // Records that this instance would send a request to the upstream now.
    // Returns whether its share allows that.
    bool admit(const registered_upstream& upstream, time_point now);
    // Records a send, which uses up part of the share.
    void record_send(const registered_upstream& upstream, send_kind kind,
                     time_point now);
    // Returns when the share allows the next send; empty when it allows none at
    // all or the upstream has no limit.
    std::optional<time_point> next_send(std::string_view upstream,
                                        time_point now) const;

    // Returns the use of each limited upstream since the last call.
    std::vector<rate_limit_use> take_use();
    // Number of upstreams that state a limit.
    std::size_t size() const;

private:
    struct peer_demand
    {
        double per_second = 0;
        time_point reported_at;
    };

    struct limited_upstream
    {
        // Empty when the upstream has stated that its limit has ended. Such an
        // entry is kept so that the others hear of it.
        std::optional<double> per_second;
        time_point stated_at;
        std::string failure_domain;
        // Requests that this instance would send a second without the limit.
        double demand = 0;
        time_point demand_updated_at;
        std::map<std::string, peer_demand, std::less<>> peer_demands;
        // The share, in requests a second, and the requests saved up.
        double share = 0;
        double saved = 0;
        time_point saved_at;
        // Value of `fleet_changes` for which `is_holder` was determined.
        std::uint64_t fleet_change = 0;
        bool is_holder = false;
        unsigned first_sends = 0;
        unsigned repeats = 0;
        unsigned withheld = 0;
    };

    limited_upstream* find_limited(std::string_view upstream);
    void add_demand(limited_upstream& entry, time_point now) const;
    static double demand_at(const limited_upstream& entry, time_point now);
    // Returns this instance's demand relative to the average of those known.
    static double demand_ratio(const limited_upstream& entry, time_point now);
    // Computes the share again and adds what was saved up since the last call.
    void update_share(std::string_view id, limited_upstream& entry,
                      time_point now) const;
    static double max_saved(const limited_upstream& entry);

    rate_limit_fleet fleet;
    std::uint64_t fleet_changes = 1;
    std::map<std::string, limited_upstream, std::less<>> upstreams;
    // The upstream with which the last list of reports ended.
    std::string last_reported;
};

}

#endif
