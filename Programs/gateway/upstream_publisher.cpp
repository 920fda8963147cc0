#include "upstream_publisher.hpp"

#include "core/process/connection_share.hpp"
#include "core/process/upstream_subset.hpp"
#include "net/http_client.hpp"

#include <chrono>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Idle connections to upstreams outside the subset are closed after this
// long.
constexpr std::chrono::seconds outside_subset_idle_timeout{2};

}

upstream_publisher::upstream_publisher(options opts)
    : config(std::move(opts))
{
}

void upstream_publisher::choose_subset()
{
    const auto& state = *this->config.state;
    if (!state.routes)
        return;
    for (const auto& [service, group] : state.upstreams.by_service())
    {
        const auto* limits = state.routes->find_service(service);
        if (limits == nullptr)
            continue;
        const upstream_subset subset(
            group, {.instance = this->config.instance,
                    .failure_domain = this->config.failure_domain,
                    .fleet = this->fleet,
                    .max_connections = limits->max_connections});
        for (const auto& each : group)
            each->state->set_in_subset(subset.contains(each->spec.id));
    }
}

unsigned upstream_publisher::share_of(const upstream_spec& upstream) const
{
    const auto& routes = this->config.state->routes;
    const auto* limits =
        routes ? routes->find_service(upstream.service) : nullptr;
    if (limits == nullptr)
        return 1;
    return connection_share({.max_connections = limits->max_connections,
                             .slots = upstream.slots,
                             .fleet = this->fleet});
}

void upstream_publisher::limit_shares(
    std::map<std::string, upstream_address>& addresses) const
{
    std::size_t total = 0;
    for (const auto& [id, each] : addresses)
        total += each.connection_share;
    for (auto& [id, each] : addresses)
    {
        each.connection_share = reduce_share(each.connection_share, total,
                                             this->config.max_connections);
        each.min_concurrency = each.connection_share;
    }
}

void upstream_publisher::publish(const fleet_size& size)
{
    this->fleet = size;
    this->choose_subset();
    std::map<std::string, upstream_address> addresses;
    for (const auto& [id, entry] : this->config.state->upstreams.all())
    {
        const auto endpoint = parse_endpoint(entry->spec.address);
        if (!endpoint)
            continue;
        const auto share = this->share_of(entry->spec);
        const auto idle_timeout = entry->state->is_in_subset()
                                      ? std::chrono::milliseconds(0)
                                      : outside_subset_idle_timeout;
        // Upstreams also shed requests while they have free slots, so refusals
        // say little about their load and must not lower the concurrency below
        // the share.
        addresses.emplace(id, upstream_address{.endpoint = endpoint.value(),
                                               .connection_share = share,
                                               .min_concurrency = share,
                                               .state = entry->state,
                                               .idle_timeout = idle_timeout});
    }
    this->limit_shares(addresses);
    this->config.upstreams->set_upstreams(std::move(addresses));
}

}
