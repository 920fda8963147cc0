#include "core/process/hedge_budget.hpp"
#include "core/version/ownership.hpp"
#include "ctl/commands/command.hpp"
#include "ctl/commands/document_file.hpp"

#include <map>
#include <ostream>

namespace wisteriahatch::ctl
{

namespace
{

// Prints how requests of one class of a service are served, one topic per
// function.
class explanation
{
public:
    explanation(const document& configuration, const service_spec& service,
                const class_spec& limits, std::ostream& output)
        : configuration(configuration)
        , service(service)
        , limits(limits)
        , output(output)
    {
    }

    void print()
    {
        this->output << "service " << this->service.name << ", class "
                     << this->limits.name << ", environment "
                     << this->configuration.environment << ", serial "
                     << this->configuration.key.serial << '\n';
        this->print_servers();
        this->print_connections();
        this->print_deadline();
        if (this->limits.request_idempotency == idempotency::non_idempotent)
        {
            this->output << "runs: each request runs at most once and is "
                            "never hedged; callers get a run id first (POST "
                            "/v1/run-ids)\n";
            return;
        }
        this->print_coverage();
        this->print_hedging();
        this->print_shards();
    }

private:
    void print_servers()
    {
        std::map<std::string_view, std::size_t> domains;
        std::size_t servers = 0;
        for (const auto& group : this->service.groups)
            for (const auto& replica : group.replicas)
            {
                ++domains[replica.failure_domain];
                ++servers;
            }
        this->output << "servers: " << servers << " in "
                     << this->service.groups.size() << " groups, "
                     << this->service.slots << " slots each ("
                     << servers * this->service.slots << " in all);";
        for (const auto& [domain, count] : domains)
            this->output << ' ' << domain << ' ' << count;
        this->output << '\n';
    }

    void print_connections()
    {
        const auto instances = this->configuration.max_entry_instances;
        const auto plan = plan_connections(this->service, instances);
        this->output << "connections: ";
        if (plan.is_direct)
            this->output << "direct, each of at most " << instances
                         << " instances may open "
                         << plan.connections_per_owner;
        else
            this->output << "through owners, not every one of " << instances
                         << " instances can connect directly; "
                         << plan.owner_count << " owners may open "
                         << plan.connections_per_owner;
        this->output << " to each server ("
                     << plan.owner_count * plan.connections_per_owner
                     << " of its limit of " << this->service.connections
                     << "); a new one takes about "
                     << this->service.connection_setup_time.count() << " ms\n";
    }

    void print_deadline()
    {
        this->output << "deadline: " << this->limits.deadline.count()
                     << " ms unless the caller names another; priority "
                     << this->limits.priority
                     << " (0 is the highest, 3 the lowest)\n";
    }

    void print_coverage()
    {
        if (this->limits.partial == partial_policy::refused)
            this->output << "coverage: every shard is needed, partial "
                            "answers are refused\n";
        else
            this->output << "coverage: partial answers are allowed from "
                         << this->limits.coverage_floor_percent
                         << "% of the shards on\n";
    }

    void print_hedging()
    {
        const auto budget = this->limits.hedge_budget_percent;
        if (budget <= 0)
        {
            this->output << "hedging: none, the budget is 0%; a failed "
                            "sub-request is still retried at an untried "
                            "replica\n";
            return;
        }
        this->output << "hedging: a second replica is asked after the "
                        "service's observed 95th percentile, at the "
                        "earliest after 2 ms; the budget of "
                     << budget << "% pays for one extra sub-request in "
                     << 100 / budget << ", and at most "
                     << hedge_budget::default_max_tokens << " are saved up\n";
        for (const auto& group : this->service.groups)
            if (group.replicas.size() == 1)
                this->output << "hedging: group " << group.name
                             << " has one replica and can't be hedged\n";
    }

    void print_shards()
    {
        for (const auto& index : this->service.indexes)
            for (const auto& shard : index.shards)
            {
                const auto& group = this->service.groups[shard.group];
                this->output << "index " << index.version.value << ": shard "
                             << shard.name << " in group " << group.name << ':';
                for (const auto& replica : group.replicas)
                    this->output << ' ' << replica.name << '@'
                                 << replica.failure_domain;
                this->output << '\n';
            }
    }

    const document& configuration;
    const service_spec& service;
    const class_spec& limits;
    std::ostream& output;
};

}

exit_code run_explain(const command_context& context)
{
    const auto file = read_document(context.arguments[0], context);
    if (!file.accepted)
        return file.status;
    const auto& service_name = context.arguments[1];
    const auto& class_name = context.arguments[2];
    const auto* const service = file.accepted->find_service(service_name);
    const auto* const limits = file.accepted->find_class(class_name);
    if (!service)
    {
        context.errors << "the service \"" << service_name
                       << "\" does not exist; the document has:";
        for (const auto& [name, spec] : file.accepted->services)
            context.errors << " \"" << name << '"';
        context.errors << '\n';
        return exit_code::refused;
    }
    if (!limits || limits->service != service_name)
    {
        context.errors << "the service \"" << service_name
                       << "\" has no class \"" << class_name << "\"; it has:";
        for (const auto& [name, spec] : file.accepted->classes)
            if (spec.service == service_name)
                context.errors << " \"" << name << '"';
        context.errors << '\n';
        return exit_code::refused;
    }
    explanation(*file.accepted, *service, *limits, context.output).print();
    return exit_code::success;
}

}
