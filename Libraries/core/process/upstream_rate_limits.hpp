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
    // Those of them that were withheld while the upstream was cold.
    unsigned cold_withheld = 0;
};

// How this instance learned that an upstream is cold.
enum class cold_origin : std::uint8_t
{
    // The directory lists it as cold, or lists it for the first time.
    directory,
    // The directory lists a new start of a known upstream. Other instances may
    // not have read that yet.
    restart,
    // The evacuation of its failure domain has ended.
    evacuation,
    // A reply of the upstream.
    reply,
    // Another instance.
    peer,
};

std::string_view to_string(cold_origin origin);

// An upstream has become cold, or its cold period has ended.
struct cold_change
{
    std::string upstream;
    bool is_cold = false;
    // How this instance learned of the cold period.
    cold_origin origin = cold_origin::directory;
    // Length of the rest of the period when it was learned.
    std::chrono::milliseconds left{0};
};

// The request rates to which upstreams ask the fleet to limit itself, and this
// instance's share of each. The shares add up to less than the limit without
// shared state: every instance computes its own from the members and demands
// that it knows; see rate_share. Upstreams that are cold are limited, too,
// until some time after the cold period; where both limits hold, the lower
// share is used. A cold period is never shortened, so the order in which
// statements about it arrive does not matter. Does no I/O and reads no clock.
// Not thread-safe.
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

    // Added to each cold period. Shorter extensions are not recorded, because
    // they are differences of the way of a statement.
    static constexpr std::chrono::milliseconds cold_margin{250};
    // Instances that have learned of a cold period from a reply or a peer send
    // nothing for this long. In it those that have not learned of it yet may
    // use up the bound.
    static constexpr std::chrono::milliseconds cold_spread_time{1000};
    // After a cold period the limit doubles at the start of each step, and ends
    // after the last.
    static constexpr std::chrono::milliseconds ramp_step{500};
    static constexpr int ramp_steps = 4;
    // Messages in which a cold period is reported before anything else once it
    // has been learned.
    static constexpr unsigned announcement_count = 8;
    // An unused share of a cold upstream's limit is saved up for this long, but
    // never less than one request.
    static constexpr std::chrono::milliseconds max_cold_saved_time{100};

    // Limits cold upstreams of the services for which a rate is given, in
    // requests a second. Nothing is limited, recorded or reported without a
    // bound, which is the default.
    void set_warm_up(std::optional<warm_up_bound> limits);
    void set_warm_up_rates(std::map<std::string, double, std::less<>> rates);
    // True when cold upstreams of the service are limited.
    bool has_warm_up(std::string_view service) const;
    // Records that the upstream is cold for so long. Returns whether that was
    // news.
    bool record_cold(const upstream_spec& spec, duration left,
                     cold_origin origin, time_point now);
    // Returns how long this start of the upstream is still cold; 0 when it is
    // not known to be.
    std::chrono::milliseconds cold_left(const upstream_spec& spec,
                                        time_point now) const;
    // Returns the upstreams that became cold or warm since the last call.
    std::vector<cold_change> take_cold_changes();
    // Returns whether a cold period of which peers should hear at once has been
    // learned since the last call.
    bool take_cold_news();
    // Number of upstreams that are cold.
    std::size_t cold_count(time_point now) const;

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
        unsigned cold_withheld = 0;
        // Empty while no request was to be sent to the upstream and only peers
        // spoke of it.
        std::string service;
        // The start of the upstream that is cold until this time.
        std::uint64_t cold_start = 0;
        time_point cold_until{};
        cold_origin origin = cold_origin::directory;
        // True when the upstream itself has stated the cold period, to
        // whichever instance. Peers are told nothing that was read from the
        // directory: they read it themselves, and an instance that restarts
        // reads old entries, too.
        bool is_cold_stated = false;
        // False when another start of the upstream is in the directory.
        bool is_current_start = true;
        bool is_end_pending = false;
        unsigned announcements = 0;
        // The warm-up rate for which `is_holder` was determined; 0 for none.
        double warm_up_rate = 0;
        double warm_up_share = 0;
    };

    // A cold period of one start of an upstream.
    struct cold_statement
    {
        std::string_view upstream;
        std::string_view failure_domain;
        std::uint64_t start = 0;
        duration left{};
        cold_origin origin = cold_origin::directory;
    };

    bool record_cold(const cold_statement& statement, time_point now);
    // Returns the entry of the upstream, added if there is room for it.
    limited_upstream* find_or_add(std::string_view upstream,
                                  std::string_view failure_domain,
                                  time_point now);
    // Returns the request rate to which the upstream is limited because it is
    // or was cold; 0 when it is not.
    double warm_up_rate_at(const limited_upstream& entry, time_point now) const;
    bool is_limited(const limited_upstream& entry, time_point now) const;
    std::optional<rate_limit_report>
    make_report(std::string_view id, limited_upstream& entry, time_point now);
    void determine_holder(std::string_view id, limited_upstream& entry,
                          double warm_up_rate) const;
    // Returns the entry of the upstream if it is limited now.
    limited_upstream* find_limited(const registered_upstream& upstream,
                                   time_point now);
    limited_upstream* find_limited(std::string_view upstream);
    void add_demand(limited_upstream& entry, time_point now) const;
    static double demand_at(const limited_upstream& entry, time_point now);
    // Returns this instance's demand relative to the average of those known.
    static double demand_ratio(const limited_upstream& entry, time_point now);
    // Computes the share again and adds what was saved up since the last call.
    void update_share(std::string_view id, limited_upstream& entry,
                      time_point now) const;
    static double max_saved(const limited_upstream& entry);

    std::optional<warm_up_bound> warm_up;
    std::map<std::string, double, std::less<>> warm_up_rates;
    std::vector<cold_change> cold_changes;
    bool has_cold_news = false;
    rate_limit_fleet fleet;
    std::uint64_t fleet_changes = 1;
    std::map<std::string, limited_upstream, std::less<>> upstreams;
    // The upstream with which the last list of reports ended.
    std::string last_reported;
};

}

#endif
