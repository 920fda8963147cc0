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
#include <utility>

DEFINE_string(settings, "", "path of the INI settings file (required)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace
{

constexpr int exit_usage = 2;

// Serves until SIGTERM or SIGINT. Ends the process without static destructors:
// log4cplus joins its idle threads in one, which delayed the exit by seconds
// until the process was killed, and nothing is left to release then.
[[noreturn]] void run(wisteriahatch::gateway_settings values)
{
    const wisteriahatch::store_client::options store{
        .address = values.store_address,
        .reads_evacuations = values.follows_evacuations()};
    auto finished = wisteriahatch::gateway_process(
                        FLAGS_settings, std::move(values),
                        std::make_unique<wisteriahatch::store_client>(store),
                        wisteriahatch::platform_header_names())
                        .run();
    if (finished)
        std::quick_exit(EXIT_SUCCESS);
    wisteriahatch::log_event(wisteriahatch::log_level::error, "start_failed",
                             {{"reason", finished.error().message}});
    std::quick_exit(EXIT_FAILURE);
}

}

int main(int argument_count, char** arguments)
{
    // A SIGHUP before its handler is installed must not end the process; the
    // settings are read below anyway.
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
    run(std::move(values.value()));
}
