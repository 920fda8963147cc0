#include "view_builder.hpp"

#include "core/version/ownership.hpp"
#include "net/http_client.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace wisteriahatch
{

namespace
{

std::shared_ptr<upstream_state>
share_or_create_state(const replica_spec& replica,
                      const std::shared_ptr<const serving_view>& previous,
                      time_point now)
{
    if (previous != nullptr)
    {
        const auto found = previous->upstreams->find(replica.name);
        if (found != previous->upstreams->end() &&
            found->second->failure_domain() == replica.failure_domain)
            return found->second;
    }
    return std::make_shared<upstream_state>(replica.name,
                                            replica.failure_domain, now);
}

std::shared_ptr<service_state>
share_or_create_state(const std::string& service,
                      const std::shared_ptr<const serving_view>& previous,
                      const service_state::options& policy)
{
    if (previous != nullptr)
    {
        const auto found = previous->services.find(service);
        if (found != previous->services.end())
            return found->second;
    }
    return std::make_shared<service_state>(policy);
}

// Ends only a drain that the directory started: a replica that announced a
// drain in a reply stays draining until its replies say otherwise.
void update_draining(upstream_state& state, bool is_leaving,
                     const std::shared_ptr<const serving_view>& previous)
{
    if (is_leaving)
        state.set_draining(true);
    else if (previous != nullptr && previous->leaving.contains(state.name()))
        state.set_draining(false);
}

using upstream_entries = std::unordered_map<std::string, const instance_entry*>;

upstream_entries upstreams_of(const directory& instances)
{
    upstream_entries entries;
    for (const auto& each : instances.instances)
    {
        if (each.role == instance_role::upstream)
            entries.emplace(each.name, &each);
    }
    return entries;
}

}

built_view build_view(const document_ptr& configuration,
                      const directory& instances,
                      const std::shared_ptr<const serving_view>& previous,
                      const service_state::options& policy, time_point now)
{
    auto view = std::make_shared<serving_view>();
    auto table = std::make_shared<upstream_table>();
    built_view built;
    view->configuration = configuration;
    const auto entries = upstreams_of(instances);
    for (const auto& [name, service] : configuration->services)
    {
        view->services.emplace(name,
                               share_or_create_state(name, previous, policy));
        const auto plan =
            plan_connections(service, configuration->max_entry_instances);
        for (const auto& group : service.groups)
        {
            for (const auto& replica : group.replicas)
            {
                const auto entry = entries.find(replica.name);
                if (entry == entries.end())
                    continue;
                const auto endpoint = parse_endpoint(entry->second->address);
                if (!endpoint)
                    continue;
                auto state = share_or_create_state(replica, previous, now);
                const bool is_leaving =
                    entry->second->state == instance_state::leaving;
                update_draining(*state, is_leaving, previous);
                if (is_leaving)
                    view->leaving.insert(replica.name);
                table->emplace(replica.name, state);
                built.addresses.emplace(
                    replica.name,
                    upstream_address{.endpoint = endpoint.value(),
                                     .connection_share = std::max(
                                         1U, plan.connections_per_owner),
                                     .state = std::move(state),
                                     .is_leaving = is_leaving});
            }
        }
    }
    view->upstreams = std::move(table);
    built.view = std::move(view);
    return built;
}

}
