#ifndef WISTERIAHATCH_CTL_COMMANDS_DOCUMENT_FILE_HPP
#define WISTERIAHATCH_CTL_COMMANDS_DOCUMENT_FILE_HPP

#include "core/version/document.hpp"
#include "ctl/commands/command.hpp"

#include <optional>
#include <string>

namespace wisteriahatch::ctl
{

// Reads a file; reports to the context's errors and returns nothing if it
// can't be read. At most one byte more than max_document_bytes is read.
std::optional<std::string> read_file(const std::string& path,
                                     const command_context& context);

// A checked document, or the exit status after its faults are reported.
struct document_file
{
    document_ptr accepted;
    exit_code status = exit_code::fine;
};

// Reads and checks a document. Each fault is one line: PATH: FAULT.
document_file read_document(const std::string& path,
                            const command_context& context);

}

#endif
