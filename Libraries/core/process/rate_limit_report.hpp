#ifndef WISTERIAHATCH_CORE_PROCESS_RATE_LIMIT_REPORT_HPP
#define WISTERIAHATCH_CORE_PROCESS_RATE_LIMIT_REPORT_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace wisteriahatch
{

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

    friend bool operator==(const rate_limit_report&,
                           const rate_limit_report&) = default;
};

// Maximum number of reports in one message.
inline constexpr std::size_t max_rate_limit_reports = 16;

}

#endif
