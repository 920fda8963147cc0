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
    // The document is accepted, the documents are equal, or the instances
    // agree.
    success = 0,
    // A document is refused, or documents or instances differ.
    refused = 1,
    // The command line is invalid or a file can't be read.
    usage_error = 2,
};

// Arguments and streams of one command.
struct command_context
{
    // Arguments after the command's name.
    std::vector<std::string> arguments;
    std::ostream& output;
    std::ostream& errors;
    // Time limit for the reply of one instance.
    std::chrono::milliseconds timeout{1000};
};

// A command's entry in the help text, and its implementation.
struct command
{
    std::string_view name;
    std::string_view arguments;
    std::string_view purpose;
    std::size_t min_arguments = 0;
    std::size_t max_arguments = 0;
    exit_code (*run)(const command_context& context) = nullptr;
};

// Returns all commands in the order of the help text.
std::span<const command> commands();

// Returns the help text: the syntax and purpose of each command.
std::string usage_text();

// Runs the command named by the first argument.
exit_code run_command(command_context context);

// Checks a document and prints every problem, or a summary of its content.
exit_code run_check(const command_context& context);

// Prints what a promotion from one document to another changes.
exit_code run_diff(const command_context& context);

// Prints a file's digest as instances report it, without checking the document.
exit_code run_digest(const command_context& context);

// Prints how requests of a class are served: servers, connections, deadline,
// coverage and hedging.
exit_code run_explain(const command_context& context);

// Prints the lines of instances' logs that concern one request, in order of
// time.
exit_code run_explain_request(const command_context& context);

// Requests the status of each instance, one after the other, and prints
// whether they have the same document in force.
exit_code run_status(const command_context& context);

}

#endif
