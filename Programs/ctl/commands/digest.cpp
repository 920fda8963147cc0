#include "core/version/document_check.hpp"
#include "ctl/commands/command.hpp"
#include "ctl/commands/document_file.hpp"

#include <ostream>

namespace wisteriahatch::ctl
{

exit_code run_digest(const command_context& context)
{
    const auto& path = context.arguments[0];
    const auto text = read_file(path, context);
    if (!text)
        return exit_code::usage_error;
    if (text->size() > max_document_bytes)
    {
        context.errors << path << ": larger than " << max_document_bytes
                       << " bytes, the size limit of a document\n";
        return exit_code::refused;
    }
    context.output << document_digest(*text) << "  " << path << '\n';
    return exit_code::success;
}

}
