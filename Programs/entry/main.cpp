#include "entry_process.hpp"
#include "settings.hpp"
#include "telemetry/log.hpp"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>

DEFINE_string(settings, "", "path of the INI settings file (required)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace
{

constexpr int exit_usage = 2;

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage(
        "entry instance of the query tier\n"
        "usage: wisteriahatch-entry --settings=FILE\n"
        "exit status: 0 after a graceful shutdown, 1 when an address can't be "
        "bound, 2 for bad flags or settings");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    if (argument_count != 1 || FLAGS_settings.empty())
    {
        std::cerr << "wisteriahatch-entry: --settings=FILE is required; see "
                     "--help\n";
        return exit_usage;
    }
    auto values = wisteriahatch::read_settings(FLAGS_settings);
    if (!values)
    {
        std::cerr << "wisteriahatch-entry: " << values.error().message << '\n';
        return exit_usage;
    }
    if (FLAGS_check_settings)
        return EXIT_SUCCESS;
    wisteriahatch::start_logging("wisteriahatch-entry",
                                 values.value().log_level);
    wisteriahatch::entry_process process(std::move(values.value()));
    auto finished = process.run();
    if (finished)
        return EXIT_SUCCESS;
    wisteriahatch::log_event(wisteriahatch::log_level::error, "start_failed",
                             {{"reason", finished.error().message}});
    return EXIT_FAILURE;
}
