#ifndef WISTERIAHATCH_CORE_PROCESS_RATE_LIMIT_REPORT_HPP
#define WISTERIAHATCH_CORE_PROCESS_RATE_LIMIT_REPORT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace wisteriahatch
{

// Longer cold periods are shortened to this, so that a malformed statement does
// not limit an upstream for ever.
inline constexpr std::chrono::minutes max_cold_time{5};

// How long one start of an upstream is still cold.
struct cold_period
{
    // The upstream's start, see upstream_spec. A report about an earlier start
    // says nothing of a later one.
    std::uint64_t start = 0;
    // Remaining time. It does not depend on the age of the report.
    std::chrono::milliseconds left{0};

    friend bool operator==(const cold_period&, const cold_period&) = default;
};

// What one instance tells another about an upstream's limit on its rate of
// requests.
struct rate_limit_report
{
    std::string upstream;
    // The upstream's, so that all instances agree on who has a share.
    std::string failure_domain;
    // Requests a second from all instances together; empty when the limit has
    // ended.
    std::optional<double> per_second;
    // Time since the upstream stated this, to whichever instance.
    std::chrono::milliseconds age{0};
    // Requests a second that the reporting instance would send without the
    // limit. Empty when it has no share of the limit.
    std::optional<double> demand;
    // Empty when the upstream is not known to be cold.
    std::optional<cold_period> cold = {};

    friend bool operator==(const rate_limit_report&,
                           const rate_limit_report&) = default;
};

// Maximum number of reports in one message.
inline constexpr std::size_t max_rate_limit_reports = 16;

}

#endif
