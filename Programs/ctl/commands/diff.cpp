#include "core/version/document_diff.hpp"
#include "ctl/commands/command.hpp"
#include "ctl/commands/document_file.hpp"

#include <ostream>

namespace wisteriahatch::ctl
{

exit_code run_diff(const command_context& context)
{
    const auto from = read_document(context.arguments[0], context);
    // Reads both before returning, so that one run reports all problems.
    const auto to = read_document(context.arguments[1], context);
    if (!from.accepted || !to.accepted)
        return std::max(from.status, to.status);
    const auto changes = describe_changes(*from.accepted, *to.accepted);
    for (const auto& change : changes)
        context.output << change << '\n';
    return changes.empty() ? exit_code::success : exit_code::refused;
}

}
