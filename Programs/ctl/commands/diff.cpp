#include "core/version/document_diff.hpp"
#include "ctl/commands/command.hpp"
#include "ctl/commands/document_file.hpp"

#include <ostream>

namespace wisteriahatch::ctl
{

exit_code run_diff(const command_context& context)
{
    const auto from = read_document(context.arguments[0], context);
    // Both documents are checked, so that one run reports the faults of both.
    const auto to = read_document(context.arguments[1], context);
    if (!from.accepted || !to.accepted)
        return std::max(from.status, to.status);
    const auto changes = describe_changes(*from.accepted, *to.accepted);
    for (const auto& change : changes)
        context.output << change << '\n';
    return changes.empty() ? exit_code::fine : exit_code::refused;
}

}
