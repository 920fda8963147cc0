#ifndef WISTERIAHATCH_CORE_PROCESS_LOAD_ESTIMATE_HPP
#define WISTERIAHATCH_CORE_PROCESS_LOAD_ESTIMATE_HPP

#include "core/base/time.hpp"
#include "core/connection/upstream_load.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// How a send to an upstream ended, as a signal of the upstream's load.
enum class send_end : std::uint8_t
{
    answered,
    // The upstream has rejected the request without running it.
    rejected,
    // No answer came: the send failed, or was given up.
    unanswered,
};

// Estimates from the ends of this instance's own sends how loaded the upstreams
// of services are. Evidence loses weight with its age, and where there is none
// the estimate is no load. Does no I/O and reads no clock.
class load_estimate
{
public:
    struct ended_send
    {
        std::string_view service;
        std::string_view upstream;
        send_end end = send_end::unanswered;
        duration elapsed{0};
        // Empty when no reply has reported the load.
        std::optional<upstream_load> load;
    };

    struct service_values
    {
        // Expected time for which a request waits for a slot.
        duration wait{0};
        // Usual time of a request that does not wait; 0 until there was one.
        duration work{0};
        // Share of the sends that upstreams reject, 0 to 1.
        double rejected = 0;
    };

    struct group_values
    {
        // Mean of the expected waits over the upstreams of all services.
        duration wait{0};
        // In the order of the services.
        std::vector<service_values> services;
    };

    // Time in which a report of an upstream's load loses half of its weight.
    // With a longer one, queues that have been served still cause refusals.
    static constexpr std::chrono::milliseconds load_half_life{500};
    // Time in which the wait in a report halves, because queues are served.
    // With a shorter one, an instance with one request a second sees no
    // overload.
    static constexpr std::chrono::seconds wait_half_life{2};
    // Reports older than this are dropped.
    static constexpr std::chrono::seconds max_load_age{5};
    // Time in which an outcome loses half of its weight in the rejected share.
    // An instance has one or two outcomes of a service in a second.
    static constexpr std::chrono::seconds outcome_half_life{2};

    void record_send(std::string_view service, std::string_view upstream,
                     time_point now);
    void record_end(const ended_send& ended, time_point now);
    // Returns the estimates of services whose upstreams share their fate:
    // services with few outcomes are assumed to be like the others.
    group_values estimate(std::span<const std::string> services,
                          time_point now);

private:
    struct upstream_record
    {
        // Without slots, the upstream has not reported its load.
        upstream_load load;
        // Sends of this instance that the report does not include.
        unsigned unreported_sends = 0;
        // How late the last answer was if it did not report the load.
        duration lateness{0};
        time_point last_report;
        // The last report or send.
        time_point last_event;
    };

    struct service_record
    {
        std::map<std::string, upstream_record, std::less<>> upstreams;
        duration work{0};
        // Weights of the outcomes at `last_outcome`.
        double outcomes = 0;
        double rejections = 0;
        time_point last_outcome;
    };

    // Sums of weights and of weighted values.
    struct weighted_sum
    {
        double weight = 0;
        double value = 0;
    };

    service_record& service(std::string_view name);
    static upstream_record& upstream(service_record& service,
                                     std::string_view name);
    static void age_outcomes(service_record& service, time_point now);
    static void learn_work(service_record& service, const ended_send& ended);
    // In seconds.
    static double expected_wait(const service_record& service,
                                const upstream_record& upstream);
    static weighted_sum sum_waits(service_record& service, time_point now);

    std::map<std::string, service_record, std::less<>> records;
};

}

#endif
