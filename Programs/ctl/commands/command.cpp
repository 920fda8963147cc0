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

constexpr std::array table{
    command{
        .name = "check",
        .arguments = "FILE",
        .purpose = "check a document and report every fault",
        .least_arguments = 1,
        .most_arguments = 1,
        .run = run_check,
    },
    command{
        .name = "diff",
        .arguments = "OLD NEW",
        .purpose = "print what a promotion from OLD to NEW changes",
        .least_arguments = 2,
        .most_arguments = 2,
        .run = run_diff,
    },
    command{
        .name = "digest",
        .arguments = "FILE",
        .purpose = "print the digest that instances report",
        .least_arguments = 1,
        .most_arguments = 1,
        .run = run_digest,
    },
    command{
        .name = "explain",
        .arguments = "FILE SERVICE CLASS",
        .purpose = "print servers, connections, deadline and hedging",
        .least_arguments = 3,
        .most_arguments = 3,
        .run = run_explain,
    },
    command{
        .name = "explain-request",
        .arguments = "ID LOG...",
        .purpose = "print a request's story from instances' logs",
        .least_arguments = 2,
        .most_arguments = std::numeric_limits<std::size_t>::max(),
        .run = run_explain_request,
    },
    command{
        .name = "status",
        .arguments = "ADMIN_ADDRESS...",
        .purpose = "print whether instances are ready and agree",
        .least_arguments = 1,
        .most_arguments = std::numeric_limits<std::size_t>::max(),
        .run = run_status,
    },
};

}

std::span<const command> commands()
{
    return table;
}

std::string usage_text()
{
    std::string text = "wisteriahatch-ctl COMMAND ARGUMENT...\n\n";
    constexpr std::size_t purpose_column = 30;
    for (const auto& entry : table)
    {
        std::string form;
        form.append("  ")
            .append(entry.name)
            .append(" ")
            .append(entry.arguments);
        form.resize(std::max(purpose_column, form.size() + 1), ' ');
        text.append(form).append(entry.purpose).append("\n");
    }
    return text + "\nExit status: 0 fine; 1 refused or different; 2 wrong "
                  "usage or unreadable file.";
}

exit_code run_command(command_context context)
{
    if (context.arguments.empty())
    {
        context.errors << "the command is missing\n" << usage_text() << '\n';
        return exit_code::usage;
    }
    const auto name = std::move(context.arguments.front());
    context.arguments.erase(context.arguments.begin());
    const auto* const found = std::ranges::find(table, name, &command::name);
    if (found == table.end())
    {
        context.errors << "the command \"" << name << "\" is unknown\n"
                       << usage_text() << '\n';
        return exit_code::usage;
    }
    if (context.arguments.size() < found->least_arguments ||
        context.arguments.size() > found->most_arguments)
    {
        context.errors << "write: wisteriahatch-ctl " << found->name << ' '
                       << found->arguments << '\n';
        return exit_code::usage;
    }
    return found->run(context);
}

}
