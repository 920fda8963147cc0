#ifndef WISTERIAHATCH_CORE_VERSION_ROUTE_TABLE_HPP
#define WISTERIAHATCH_CORE_VERSION_ROUTE_TABLE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriahatch
{

// Whether a request may be sent again while it is unknown whether it ran.
enum class retry_policy : std::uint8_t
{
    // The request may run more than once.
    idempotent,
    // The request may run once. Another upstream is tried only with proof that
    // the previous one did not run it.
    at_most_once,
};

std::string_view to_string(retry_policy policy);

// A service that gets a share of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

// The destination and the limits of requests with a given host and path prefix.
struct route_spec
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    retry_policy retries = retry_policy::idempotent;
    // Maximum time that a caller waits for the answer.
    std::chrono::milliseconds timeout{1000};
    // Latency within which an answer has its full value to the caller.
    std::chrono::milliseconds target_latency{1000};
    // 0 is the highest priority.
    unsigned priority = 0;
    // Maximum number of upstreams that are tried for a request, or for each of
    // its sub-requests.
    unsigned max_attempts = 1;
    // Services of which one answers the request; empty if `shards` is not
    // empty.
    std::vector<weighted_service> services;
    // Services whose partial answers are merged; empty if one service answers.
    std::vector<std::string> shards;
    // Maximum number of records in a merged answer.
    std::size_t top_records = 0;
    // Minimum fraction of the shards that a successful merged answer includes.
    double min_coverage = 1;

    bool is_scattered() const
    {
        return !this->shards.empty();
    }
};

// The operator's settings for one service.
struct service_limits
{
    // Path that answers with status 200 while an upstream is healthy.
    std::string health_path;
    // Connections that one upstream accepts from all callers together.
    unsigned max_connections = 1;
    // Requests a second that a cold upstream takes from all instances together;
    // 0 when no limit is stated.
    double warm_up_rate = 0;
    // How long an upstream is taken for cold when it does not say so itself.
    std::chrono::milliseconds warm_up_time{0};
};

// Limits on the size of callers' requests, on the time to send a header and on
// the idle time of connections.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

// A complete version of the routes. Immutable; requests keep the version with
// which they started.
class route_table
{
public:
    struct options
    {
        std::uint64_t version = 0;
        std::vector<route_spec> routes;
        std::map<std::string, service_limits, std::less<>> services;
        caller_limits callers;
    };

    explicit route_table(options opts);

    std::uint64_t version() const;
    const std::vector<route_spec>& routes() const;
    const caller_limits& callers() const;
    const std::map<std::string, service_limits, std::less<>>& services() const;
    // Returns the service's limits, or nullptr.
    const service_limits* find_service(std::string_view name) const;
    // Returns the route of this host with the longest matching path prefix, or
    // nullptr. Ignores a port after the host.
    const route_spec* find(std::string_view host,
                           std::string_view target) const;

private:
    // Position in options::routes by path prefix.
    using prefix_map = std::map<std::string, std::size_t, std::less<>>;

    options values;
    std::map<std::string, prefix_map, std::less<>> prefixes_by_host;
};

using route_table_ptr = std::shared_ptr<const route_table>;

}

#endif
