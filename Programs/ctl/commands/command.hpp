#ifndef WISTERIAHATCH_CTL_COMMANDS_COMMAND_HPP
#define WISTERIAHATCH_CTL_COMMANDS_COMMAND_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch::ctl
{

// Exit status of the program.
enum class exit_code : std::uint8_t
{
    // The document is accepted, the documents are equal, the instances agree.
    fine = 0,
    // A document is refused, documents or instances differ.
    refused = 1,
    // The command line is wrong or a file can't be read.
    usage = 2,
};

// What a command works with.
struct command_context
{
    // Arguments after the command's name.
    std::vector<std::string> arguments;
    std::ostream& output;
    std::ostream& errors;
    // Longest wait for one instance.
    std::chrono::milliseconds timeout{1000};
};

// A command of the program.
struct command
{
    std::string_view name;
    std::string_view arguments;
    std::string_view purpose;
    std::size_t least_arguments = 0;
    std::size_t most_arguments = 0;
    exit_code (*run)(const command_context& context) = nullptr;
};

// Returns all commands in the order of the help text.
std::span<const command> commands();

// Returns the help text: the form of each command and its purpose.
std::string usage_text();

// Runs the command that the first argument names.
exit_code run_command(command_context context);

// Checks a document and prints every fault, or what the document holds.
exit_code run_check(const command_context& context);

// Prints what a promotion from one document to another changes.
exit_code run_diff(const command_context& context);

// Prints a file's digest as instances report it. The document is not checked.
exit_code run_digest(const command_context& context);

// Prints what a class of a service is promised and how it is kept: servers,
// connections, deadline and hedging.
exit_code run_explain(const command_context& context);

// Prints what the logs of instances say about one request, in order of time.
exit_code run_explain_request(const command_context& context);

// Asks instances for their status, one after the other, and prints whether
// they agree on the document.
exit_code run_status(const command_context& context);

}

#endif
