#ifndef WISTERIAHATCH_CTL_COMMANDS_DOCUMENT_FILE_HPP
#define WISTERIAHATCH_CTL_COMMANDS_DOCUMENT_FILE_HPP

#include "core/version/document.hpp"
#include "ctl/commands/command.hpp"

#include <optional>
#include <string>

namespace wisteriahatch::ctl
{

// Reads at most max_document_bytes + 1 bytes of a file, so that a file that is
// too large can be recognised. If the file can't be read, writes the reason to
// `context.errors` and returns nothing.
std::optional<std::string> read_file(const std::string& path,
                                     const command_context& context);

// An accepted document, or the exit status if it was unreadable or refused.
struct document_file
{
    document_ptr accepted;
    exit_code status = exit_code::success;
};

// Reads and checks a document. Writes each problem to `context.errors` as a
// line "PATH: PROBLEM".
document_file read_document(const std::string& path,
                            const command_context& context);

}

#endif
