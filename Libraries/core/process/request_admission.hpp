#ifndef WISTERIAHATCH_CORE_PROCESS_REQUEST_ADMISSION_HPP
#define WISTERIAHATCH_CORE_PROCESS_REQUEST_ADMISSION_HPP

#include "core/base/time.hpp"
#include "core/process/load_estimate.hpp"
#include "core/process/retry_budgets.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// What is done with a request now.
enum class admission_verdict : std::uint8_t
{
    start,
    // Decide again at the stated time.
    wait,
    refuse,
};

// Why a request waits or is refused.
enum class admission_reason : std::uint8_t
{
    none,
    // Requests wait at the upstreams, and this one has to make room.
    crowded,
    // The request can't be answered before its deadline.
    late,
    // Upstreams reject so many sends that too few legs would be answered.
    rejecting,
};

std::string_view to_string(admission_reason reason);

// Decides which requests start, wait or are refused while upstreams have too
// little room: less urgent ones make room before more urgent ones. Uses only
// the outcomes of this instance's own sends, because every instance sees them
// and together they divide the room. While nothing shows a shortage every
// request starts. Not thread-safe. Does no I/O and reads no clock.
class request_admission
{
public:
    struct request
    {
        // The service of each leg.
        std::span<const std::string> services;
        // 0 is the highest priority.
        unsigned priority = 0;
        time_point received;
        time_point deadline;
        duration target_latency{0};
        double min_coverage = 1;
        // Maximum number of sends of a leg.
        unsigned max_sends = 1;
        // The caller has spent part of its time at another instance.
        bool is_caller_repeat = false;
        // Uniformly distributed in [0, 1), the same in all decisions on the
        // request.
        double draw = 0;
        // This is not the first decision on the request.
        bool has_waited = false;
    };

    struct decision
    {
        admission_verdict verdict = admission_verdict::start;
        admission_reason reason = admission_reason::none;
        // When to decide again.
        time_point decide_at;
        // When a refused caller should ask again.
        duration retry_after{0};
        // Repeats of the retry budgets that the request leaves to more
        // urgent requests.
        double kept_repeats = 0;
    };

    // A refusal comes within this part of the target latency.
    static constexpr double max_wait_ratio = 0.25;
    // No class of requests is started less often than this part of the mean.
    static constexpr double min_share = 0.25;
    // A class counts as present for this time after its last request; an
    // instance may get one request of a class in several seconds.
    static constexpr std::chrono::seconds class_memory{10};
    // Part of the tightest slack, target latency minus work, that the mean wait
    // may take: the rest is for legs that wait longer than the mean.
    static constexpr double wait_ratio = 0.35;
    // Less urgent requests are refused when they succeed with a lower
    // probability; the most urgent ones when they practically can't.
    static constexpr double min_success = 0.25;
    static constexpr double min_urgent_success = 0.02;
    // Repeats of each budget that less urgent requests leave while there is too
    // little room, and while upstreams only reject more sends than the budgets
    // bear. The reserve of one of ninety instances is about two.
    static constexpr double kept_in_shortage = 1;
    static constexpr double kept_when_rejected = 0.5;

    // `budgets` limits the repeats; it may be null, which means no limit.
    explicit request_admission(const retry_budgets* budgets = nullptr);

    // The signals of load; see load_estimate.
    load_estimate& load();
    decision decide(const request& each, time_point now);
    // Returns the part of the requests to this service, or to a list that
    // begins with it, for which there is room; 1 without a shortage.
    double room(std::string_view service) const;

private:
    struct class_record
    {
        time_point last_seen;
        // The shortest one seen, and when; routes of the same priority may have
        // different ones.
        duration target_latency{0};
        time_point target_seen;
        // Smoothed part of the requests that were started.
        double started = 1;
    };

    // The state of the requests to one list of services.
    struct group_record
    {
        // By priority.
        std::map<unsigned, class_record> classes;
        // Number of classes that make room, the least urgent first; the
        // fractional part is that of the class which does so in part.
        double shortage = 0;
        duration last_wait{0};
        // The last wait exceeded the allowed one.
        bool had_excess = false;
        time_point last_update;
    };

    static void record_class(group_record& group, const request& each,
                             time_point now);
    static void update_shortage(group_record& group, duration wait,
                                duration allowed, time_point now);
    // Returns the probability with which requests of the class are started.
    static double share(const group_record& group, const request& each);
    static double mean_started(const group_record& group);
    // Returns the mean wait with which all classes can meet their target.
    static duration allowed_wait(const group_record& group, duration work);
    static bool has_more_urgent(const group_record& group, const request& each);
    static std::ptrdiff_t less_urgent_classes(const group_record& group,
                                              const request& each);
    double success_probability(const request& each,
                               const load_estimate::group_values& load,
                               double kept, time_point now) const;
    unsigned repeats_left(std::string_view service, double kept,
                          time_point now) const;
    decision choose(const group_record& group, const request& each,
                    const load_estimate::group_values& load,
                    time_point now) const;
    static double kept_repeats(const group_record& group,
                               const load_estimate::group_values& load);
    static decision refuse(const request& each, admission_reason reason,
                           duration room_after);
    // Returns how long it takes until the request would start.
    static duration time_to_room(const group_record& group,
                                 const request& each);

    const retry_budgets* budgets;
    load_estimate signals;
    // By the first service of the list.
    std::map<std::string, group_record, std::less<>> groups;
};

}

#endif
