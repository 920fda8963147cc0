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

// What may be done when it is unknown whether a request ran.
enum class retry_rule : std::uint8_t
{
    // The request may run more than once.
    idempotent,
    // The request may run once. Another upstream is tried only with proof that
    // the earlier one did not run it.
    at_most_once,
};

std::string_view to_string(retry_rule rule);

// A service that gets a share of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

// Where requests with one host and path prefix go, and within which bounds.
struct route_spec
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    retry_rule retries = retry_rule::idempotent;
    // Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{1000};
    // Time within which an answer is worth most to its caller.
    std::chrono::milliseconds target_latency{1000};
    // 0 is the most urgent.
    unsigned priority = 0;
    // Upstreams to which a request, or each of its sub-requests, may be sent.
    unsigned max_attempts = 1;
    // Services of which one answers the request; empty when `shards` is not.
    std::vector<weighted_service> services;
    // Services that each answer with a part; empty for plain forwarding.
    std::vector<std::string> shards;
    // Records of a merged answer.
    std::size_t top_records = 0;
    // Smallest share of shards that makes a merged answer a success.
    double min_coverage = 1;

    bool is_scattered() const
    {
        return !this->shards.empty();
    }
};

// What the operator says of one service.
struct service_limits
{
    // Path that answers 200 while an upstream is healthy.
    std::string health_path;
    // Connections that one upstream accepts from all callers together.
    unsigned max_connections = 1;
};

// Bounds on what callers may send, and on how long they may take or idle.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

// One version of the routes, complete. Immutable once built; requests keep the
// version with which they started.
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

    explicit route_table(options values);

    std::uint64_t version() const;
    const std::vector<route_spec>& routes() const;
    const caller_limits& callers() const;
    const std::map<std::string, service_limits, std::less<>>& services() const;
    // Returns the service's limits, or nullptr.
    const service_limits* find_service(std::string_view name) const;
    // Returns the route of this host with the longest prefix that begins the
    // target's path, or nullptr. A port after the host is ignored.
    const route_spec* find(std::string_view host,
                           std::string_view target) const;

private:
    // Index into `all` by prefix.
    using prefixes = std::map<std::string, std::size_t, std::less<>>;

    options values;
    std::map<std::string, prefixes, std::less<>> hosts;
};

using route_table_ptr = std::shared_ptr<const route_table>;

}

#endif
