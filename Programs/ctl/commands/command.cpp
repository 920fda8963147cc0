#include "ctl/commands/command.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <ostream>
#include <utility>

namespace wisteriahatch::ctl
{

namespace
{

constexpr std::array command_table{
    command{
        .name = "check",
        .arguments = "FILE",
        .purpose = "check a document and report every fault",
        .min_arguments = 1,
        .max_arguments = 1,
        .run = run_check,
    },
    command{
        .name = "diff",
        .arguments = "OLD NEW",
        .purpose = "print what a promotion from OLD to NEW changes",
        .min_arguments = 2,
        .max_arguments = 2,
        .run = run_diff,
    },
    command{
        .name = "digest",
        .arguments = "FILE",
        .purpose = "print the digest that instances report",
        .min_arguments = 1,
        .max_arguments = 1,
        .run = run_digest,
    },
    command{
        .name = "explain",
        .arguments = "FILE SERVICE CLASS",
        .purpose = "print servers, connections, deadline and hedging",
        .min_arguments = 3,
        .max_arguments = 3,
        .run = run_explain,
    },
    command{
        .name = "explain-request",
        .arguments = "ID LOG...",
        .purpose = "print a request's story from instances' logs",
        .min_arguments = 2,
        .max_arguments = std::numeric_limits<std::size_t>::max(),
        .run = run_explain_request,
    },
    command{
        .name = "status",
        .arguments = "ADMIN_ADDRESS...",
        .purpose = "print whether instances are ready and agree",
        .min_arguments = 1,
        .max_arguments = std::numeric_limits<std::size_t>::max(),
        .run = run_status,
    },
};

}

std::span<const command> commands()
{
    return command_table;
}

std::string usage_text()
{
    std::string text = "wisteriahatch-ctl COMMAND ARGUMENT...\n\n";
    constexpr std::size_t purpose_column = 30;
    for (const auto& entry : command_table)
    {
        std::string syntax;
        syntax.append("  ")
            .append(entry.name)
            .append(" ")
            .append(entry.arguments);
        syntax.resize(std::max(purpose_column, syntax.size() + 1), ' ');
        text.append(syntax).append(entry.purpose).append("\n");
    }
    return text + "\nExit status: 0 fine; 1 refused or different; 2 wrong "
                  "usage or unreadable file.";
}

exit_code run_command(command_context context)
{
    if (context.arguments.empty())
    {
        context.errors << "no command given\n" << usage_text() << '\n';
        return exit_code::usage_error;
    }
    const auto name = std::move(context.arguments.front());
    context.arguments.erase(context.arguments.begin());
    const auto* const found =
        std::ranges::find(command_table, name, &command::name);
    if (found == command_table.end())
    {
        context.errors << "unknown command \"" << name << "\"\n"
                       << usage_text() << '\n';
        return exit_code::usage_error;
    }
    if (context.arguments.size() < found->min_arguments ||
        context.arguments.size() > found->max_arguments)
    {
        context.errors << "wrong number of arguments ("
                       << context.arguments.size()
                       << "); usage: wisteriahatch-ctl " << found->name << ' '
                       << found->arguments << '\n';
        return exit_code::usage_error;
    }
    return found->run(context);
}

}
