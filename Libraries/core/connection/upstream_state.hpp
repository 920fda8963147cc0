#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_STATE_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_STATE_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/connection/upstream_signals.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace wisteriahatch
{

// What this process has observed of one replica. All workers read and update it
// at the same time, through atomic members and without a lock.
class upstream_state
{
public:
    // Number of consecutive failures after which a replica is ejected.
    static constexpr unsigned ejection_failures = 5;
    // The ejection time doubles with each ejection until a success.
    static constexpr std::chrono::seconds base_ejection_time{1};
    static constexpr std::chrono::seconds max_ejection_time{30};
    // How long no request is sent to an upstream whose address belongs to
    // another one. Long before this has passed, the directory lists a restart
    // of the upstream, for which a new state is created.
    static constexpr std::chrono::seconds misdirection_time{30};
    // Time over which the score of a new replica falls to its normal value.
    static constexpr std::chrono::seconds cold_start_duration{10};
    // Maximum number of index versions stored per replica, the newest ones.
    static constexpr std::size_t max_versions = 8;
    // Weight of a new sample in the smoothed latency and failure ratio.
    static constexpr double sample_weight = 0.2;
    // A sample at least this many times the smoothed latency is a sudden
    // slowdown and gets a higher weight: an instance of a large fleet has one
    // sample of an upstream in several seconds.
    static constexpr double slowdown_factor = 3;
    static constexpr double slowdown_weight = 0.6;
    // The latency in the score halves each time this passes without a sample,
    // so that a replica that was slow is tried again.
    static constexpr std::chrono::seconds latency_half_life{5};
    // Latency in the score of a replica that has no sample.
    static constexpr std::chrono::milliseconds assumed_latency{10};
    // A replica that fails every attempt has its score increased by this many
    // times.
    static constexpr double failure_weight = 20;

    upstream_state(std::string name, std::string failure_domain,
                   time_point first_seen);

    const std::string& name() const;
    const std::string& failure_domain() const;

    // Record the start of an attempt, a success with its latency, a failure
    // (which counts as a latency of at least `penalty`) and a cancellation.
    // Tests that don't depend on the time pass a default time_point.
    void record_start(time_point now);
    void record_success(duration latency, time_point now);
    void record_failure(duration penalty, time_point now);
    void record_cancel(time_point now = {});
    // Records that an attempt was given up without an answer after `elapsed`,
    // which is a latency sample if it exceeds the smoothed latency. Without
    // these samples a straggler whose attempts are always cancelled in favour
    // of a hedge would never look slow. Does not change in_flight().
    void record_unanswered(duration elapsed, time_point now);

    unsigned in_flight() const;
    // Smoothed latency; 0 if there was no sample.
    duration smoothed_latency() const;
    bool is_ejected(time_point now) const;

    // Records that another upstream answered at this one's address. Requests
    // for this upstream would only load the other one. In effect for
    // misdirection_time.
    void record_misdirection(time_point now);
    bool is_misdirected(time_point now) const;

    // A draining upstream gets no new requests.
    void set_draining(bool value);
    bool is_draining() const;

    // What the upstream has said of itself in its replies.
    upstream_signals& signals();
    const upstream_signals& signals() const;

    // Whether the upstream is in the subset to which this process keeps
    // connections; see upstream_subset. True by default.
    void set_in_subset(bool value);
    bool is_in_subset() const;

    void set_reported_load(double load);
    double reported_load() const;

    // Records the complete list of index versions that the replica holds.
    void set_versions(std::span<const index_version> versions);
    // True if the replica holds the version or has not yet reported its
    // versions.
    bool may_hold(index_version version) const;

    // Smoothed fraction of attempts that failed, 0 to 1.
    double failure_ratio() const;
    // The expected cost of a request; lower is better. It is the latency x (in
    // flight + 1) x the cold start factor (4 falling to 1) x the failure
    // factor. The latency halves each latency_half_life without samples, and is
    // at least the time for which running attempts have had no answer.
    // It does not fall below `typical_latency`, so that a replica does not look
    // fast only because it has not been used.
    double score(time_point now,
                 duration typical_latency = duration::zero()) const;

private:
    void add_sample(duration latency, time_point now);
    // Updates the failure ratio with 1 for a failure or 0 for a success.
    void add_outcome(double failed);
    void end_attempt(time_point now);

    std::string replica_name;
    std::string domain;
    time_point first_seen;
    std::atomic<unsigned> running{0};
    std::atomic<std::int64_t> latency_nanoseconds{0};
    // Time since the epoch of time_point.
    std::atomic<std::int64_t> last_sample_nanoseconds{0};
    // Time since which the running attempts have had no answer: the start of
    // the first one, or the last success or failure; 0 if none is running.
    std::atomic<std::int64_t> unanswered_since_nanoseconds{0};
    std::atomic<double> failures{0};
    std::atomic<unsigned> consecutive_failures{0};
    std::atomic<unsigned> ejections{0};
    std::atomic<std::int64_t> ejected_until_nanoseconds{0};
    std::atomic<std::int64_t> misdirected_until_nanoseconds{0};
    std::atomic<bool> draining{false};
    upstream_signals own_signals;
    std::atomic<bool> in_subset{true};
    std::atomic<double> load{0};
    std::atomic<std::uint64_t> versions[max_versions]{};
    // Sequence lock of `versions`: 0 until the replica first reports its
    // versions, odd while they are being written.
    std::atomic<std::uint64_t> versions_generation{0};
};

// The replicas known to this process, by name. A table is immutable. A new
// table shares the states of the replicas that remain.
using upstream_table =
    std::map<std::string, std::shared_ptr<upstream_state>, std::less<>>;
using upstream_table_ptr = std::shared_ptr<const upstream_table>;

}

#endif
