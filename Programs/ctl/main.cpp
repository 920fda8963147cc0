#include "ctl/commands/command.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <utility>

DEFINE_uint32(timeout_ms, 1000,
              "Longest wait of status for one instance, in milliseconds.");
DECLARE_bool(help);

namespace
{

using wisteriahatch::ctl::exit_code;

// Sets the flags that options name and collects the other arguments. gflags'
// own parser exits with status 1 on an unknown option, which is the status for
// a refused document.
bool parse_options(int count, char** values,
                   std::vector<std::string>& arguments)
{
    bool is_option_allowed = true;
    for (int index = 1; index < count; ++index)
    {
        std::string_view text = values[index];
        if (!is_option_allowed || !text.starts_with("--"))
        {
            arguments.emplace_back(text);
            continue;
        }
        text.remove_prefix(2);
        is_option_allowed = !text.empty();
        if (!is_option_allowed)
            continue;
        const auto equals = text.find('=');
        const std::string name(text.substr(0, equals));
        const std::string value(equals == text.npos ? "true"
                                                    : text.substr(equals + 1));
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        {
            std::cerr << "unknown option or invalid value: " << values[index]
                      << "; see wisteriahatch-ctl --help\n";
            return false;
        }
    }
    return true;
}

}

int main(int count, char** values)
{
    wisteriahatch::ctl::command_context context{.output = std::cout,
                                                .errors = std::cerr};
    if (!parse_options(count, values, context.arguments))
        return static_cast<int>(exit_code::usage_error);
    if (FLAGS_help)
    {
        gflags::SetUsageMessage(wisteriahatch::ctl::usage_text());
        gflags::ShowUsageWithFlagsRestrict(values[0], "ctl/main");
        return static_cast<int>(exit_code::success);
    }
    context.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    return static_cast<int>(
        wisteriahatch::ctl::run_command(std::move(context)));
}
