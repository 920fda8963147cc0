#include "gateway_process.hpp"
#include "platform/headers.hpp"
#include "platform/store_client.hpp"
#include "settings.hpp"
#include "telemetry/log.hpp"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>
#include <string>

DEFINE_string(settings, "", "path of the INI settings file (required)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace
{

constexpr int exit_usage = 2;

}

int main(int argument_count, char** arguments)
{
    // A reload that is asked for before the process listens for it must not end
    // the process; the settings are about to be read anyway.
    std::signal(SIGHUP, SIG_IGN);
    gflags::SetUsageMessage(
        "forwarding instance of the query tier\n"
        "usage: wisteriahatch-gateway --settings=FILE\n"
        "exit status: 0 after a graceful shutdown, 1 when an address can't be "
        "bound, 2 for bad flags or settings");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    if (argument_count != 1 || FLAGS_settings.empty())
    {
        std::cerr << "wisteriahatch-gateway: --settings=FILE is required; see "
                     "--help\n";
        return exit_usage;
    }
    auto values = wisteriahatch::read_gateway_settings(FLAGS_settings);
    if (!values)
    {
        std::cerr << "wisteriahatch-gateway: " << values.error().message
                  << '\n';
        return exit_usage;
    }
    if (FLAGS_check_settings)
        return EXIT_SUCCESS;
    wisteriahatch::start_logging("wisteriahatch-gateway",
                                 values.value().log_level);
    auto store = std::make_unique<wisteriahatch::store_client>(
        values.value().store_address);
    wisteriahatch::gateway_process process(
        FLAGS_settings, std::move(values.value()), std::move(store),
        wisteriahatch::platform_headers());
    auto finished = process.run();
    if (finished)
        return EXIT_SUCCESS;
    wisteriahatch::log_event(wisteriahatch::log_level::error, "start_failed",
                             {{"reason", finished.error().message}});
    return EXIT_FAILURE;
}
