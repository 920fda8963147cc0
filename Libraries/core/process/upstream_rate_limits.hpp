#ifndef WISTERIAHATCH_CORE_PROCESS_UPSTREAM_RATE_LIMITS_HPP
#define WISTERIAHATCH_CORE_PROCESS_UPSTREAM_RATE_LIMITS_HPP

#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
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

// How this instance has used an upstream with a rate limit since the last
// report.
struct rate_limit_use
{
    std::string upstream;
    // Requests a second that the upstream takes from all instances together.
    double per_second = 0;
    unsigned first_sends = 0;
    unsigned repeats = 0;
};

// The request rates to which upstreams ask the fleet to limit itself. Does no
// I/O and reads no clock. Not thread-safe.
class upstream_rate_limits
{
public:
    // Upstreams with a limit beyond this number are ignored.
    static constexpr std::size_t max_upstreams = 4096;

    // Records the limit that a reply of the upstream stated; empty when it
    // stated none. Returns whether the limit has changed.
    bool record(std::string_view upstream, std::optional<double> per_second,
                time_point now);
    // Counts a send to the upstream.
    void record_send(std::string_view upstream, send_kind kind);
    // Returns the use of each limited upstream since the last call.
    std::vector<rate_limit_use> take_use();
    // Number of upstreams that state a limit.
    std::size_t size() const;

private:
    struct limited_upstream
    {
        double per_second = 0;
        time_point stated_at;
        unsigned first_sends = 0;
        unsigned repeats = 0;
    };

    std::map<std::string, limited_upstream, std::less<>> upstreams;
};

}

#endif
