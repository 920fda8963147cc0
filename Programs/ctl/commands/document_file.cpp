#include "ctl/commands/document_file.hpp"

#include "core/version/document_check.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>

namespace wisteriahatch::ctl
{

std::optional<std::string> read_file(const std::string& path,
                                     const command_context& context)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(max_document_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // A file shorter than the buffer sets eofbit; a directory or an I/O error
    // sets badbit.
    if (!file.is_open() || file.bad() || (file.fail() && !file.eof()))
    {
        context.errors << path << ": can't be read (" << std::strerror(errno)
                       << "); give the path of a document\n";
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

document_file read_document(const std::string& path,
                            const command_context& context)
{
    const auto text = read_file(path, context);
    if (!text)
        return {.status = exit_code::usage_error};
    auto checked = check_document(*text);
    for (const auto& problem : checked.problems)
        context.errors << path << ": " << to_string(problem) << '\n';
    if (!checked.accepted)
        return {.status = exit_code::refused};
    return {.accepted = std::move(checked.accepted)};
}

}
