#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_STATE_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_STATE_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace wisteriahatch
{

// What this process observed of one replica. Written and read by every worker,
// so that each member is atomic; no lock is taken.
class upstream_state
{
public:
    // Consecutive failures that eject a replica.
    static constexpr unsigned ejection_failures = 5;
    static constexpr std::chrono::seconds base_ejection_time{1};
    static constexpr std::chrono::seconds max_ejection_time{30};
    // A directory names the upstream's new start, under which it has another
    // state, long before this has passed.
    static constexpr std::chrono::seconds misdirection_time{30};
    // Time over which a new replica's score falls to its normal value.
    static constexpr std::chrono::seconds cold_start_duration{10};
    // Index versions remembered per replica; the newest are kept.
    static constexpr std::size_t max_versions = 8;
    // Share of a new sample in the smoothed latency.
    static constexpr double sample_weight = 0.2;
    // Time without samples after which a latency counts half in the score, so
    // that a replica which was slow once is tried again.
    static constexpr std::chrono::seconds latency_half_life{5};
    // Latency assumed in the score of a replica that was never used.
    static constexpr std::chrono::milliseconds assumed_latency{10};
    // A replica that fails every attempt scores this many times worse.
    static constexpr double failure_weight = 20;

    upstream_state(std::string name, std::string failure_domain,
                   time_point first_seen);

    const std::string& name() const;
    const std::string& failure_domain() const;

    // Records the start of an attempt (at no time in tests that do not care), a
    // success with its latency, a failure
    // (which counts as a latency of at least `penalty`), a cancellation.
    void record_start(time_point now);
    void record_success(duration latency, time_point now);
    void record_failure(duration penalty, time_point now);
    void record_cancel(time_point now = {});
    // Records that an attempt ran for `elapsed` and had not answered when it
    // was given up; a sample only when it exceeds the smoothed latency. Does
    // not change in_flight(). Without it a straggler whose attempts are always
    // cancelled in favour of a hedge would never look slow.
    void record_unanswered(duration elapsed, time_point now);

    unsigned in_flight() const;
    // Smoothed latency; 0 when nothing was observed.
    duration smoothed_latency() const;
    bool is_ejected(time_point now) const;

    // Another upstream answered at this one's address, so that requests for
    // this one would only load the other. Holds for misdirection_time.
    void record_misdirection(time_point now);
    bool is_misdirected(time_point now) const;

    // An upstream that is leaving gets no new work.
    void set_draining(bool value);
    bool is_draining() const;

    // Whether this process keeps connections to the upstream; see
    // upstream_subset. True until it is said otherwise.
    void set_in_subset(bool value);
    bool is_in_subset() const;

    void set_reported_load(double load);
    double reported_load() const;

    // Records the complete list of index versions that the replica holds.
    void set_versions(std::span<const index_version> versions);
    // True when the replica holds the version or never said what it holds.
    bool may_hold(index_version version) const;

    // Share of the recent attempts that failed, 0 to 1.
    double failure_ratio() const;
    // Lower is better: latency x (in flight + 1) x the cold start factor (4
    // falling to 1) x the failure factor. The latency halves each
    // latency_half_life without samples, and is at least the time for which
    // the running attempts have got no answer.
    double score(time_point now) const;

private:
    void add_sample(duration latency, time_point now);
    // Adds 1 for a failure or 0 for a success to the smoothed ratio.
    void add_outcome(double failed);
    void end_attempt(time_point now);

    std::string replica_name;
    std::string domain;
    time_point first_seen;
    std::atomic<unsigned> running{0};
    std::atomic<std::int64_t> latency_nanoseconds{0};
    // Time since the epoch of time_point.
    std::atomic<std::int64_t> last_sample_nanoseconds{0};
    // Start of the oldest attempt since the last answer; 0 for none.
    std::atomic<std::int64_t> unanswered_since_nanoseconds{0};
    std::atomic<double> failures{0};
    std::atomic<unsigned> consecutive_failures{0};
    std::atomic<unsigned> ejections{0};
    std::atomic<std::int64_t> ejected_until_nanoseconds{0};
    std::atomic<std::int64_t> misdirected_until_nanoseconds{0};
    std::atomic<bool> draining{false};
    std::atomic<bool> in_subset{true};
    std::atomic<double> load{0};
    std::atomic<std::uint64_t> versions[max_versions]{};
    // 0 until the replica first said what it holds; odd while `versions` is
    // being written.
    std::atomic<std::uint64_t> versions_generation{0};
};

// The replicas known to this process, by name. Immutable; a new table shares
// the states of replicas that stay.
using upstream_table =
    std::map<std::string, std::shared_ptr<upstream_state>, std::less<>>;
using upstream_table_ptr = std::shared_ptr<const upstream_table>;

}

#endif
