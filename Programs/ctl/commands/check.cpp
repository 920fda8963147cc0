#include "core/version/ownership.hpp"
#include "ctl/commands/command.hpp"
#include "ctl/commands/document_file.hpp"

#include <ostream>

namespace wisteriahatch::ctl
{

namespace
{

// Prints a note for each service whose connection limit is too low for every
// instance to connect to its servers directly.
void print_relayed_services(const document& checked, std::ostream& output)
{
    for (const auto& [name, service] : checked.services)
    {
        const auto plan =
            plan_connections(service, checked.max_entry_instances);
        if (!plan.is_direct)
            output << "note: [service " << name
                   << "] connections: " << service.connections
                   << " is smaller than max_entry_instances = "
                   << checked.max_entry_instances
                   << ": not every instance can connect directly, and only "
                   << plan.owner_count << " own connections to a server\n";
    }
}

}

exit_code run_check(const command_context& context)
{
    const auto& path = context.arguments[0];
    const auto file = read_document(path, context);
    if (!file.accepted)
        return file.status;
    const auto& checked = *file.accepted;
    std::size_t servers = 0;
    for (const auto& [name, service] : checked.services)
        for (const auto& group : service.groups)
            servers += group.replicas.size();
    context.output << path << ": accepted: environment " << checked.environment
                   << ", serial " << checked.key.serial << ", "
                   << checked.services.size() << " services on " << servers
                   << " servers, " << checked.classes.size() << " classes\n";
    print_relayed_services(checked, context.output);
    return exit_code::success;
}

}
