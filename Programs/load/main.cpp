#include "load_driver.hpp"
#include "load_report.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(entries, "", "entries to send to in turn, as IP:port,IP:port");
DEFINE_string(admin_ports, "",
              "admin ports of the entries in the same order; entries whose "
              "/ready is not 200 get no new requests");
DEFINE_string(service, "", "service of the document to ask");
DEFINE_string(class, "", "class of the document, when --rate is one number");
DEFINE_string(rate, "",
              "requests a second, or class:rate[:deadline_ms],... for several "
              "classes");
DEFINE_double(duration_s, 10, "seconds to send for, at most 3600");
DEFINE_double(warmup_s, 1, "seconds at the start that are not reported");
DEFINE_string(arrivals, "poisson", "poisson or uniform");
DEFINE_uint64(seed, 1, "seed of the arrivals and repeats");
DEFINE_int64(deadline_ms, 1000,
             "deadline sent with each request; later answers are no goodput");
DEFINE_uint32(connections, 256, "most connections over all entries");
DEFINE_string(mode, "queries", "queries or runs (non-idempotent requests)");
DEFINE_double(repeat, 0,
              "in mode runs, probability that a request is repeated through "
              "another entry");
DEFINE_string(upstream_counters, "",
              "addresses of all upstream stand-ins or of their admin ports, to "
              "compute the extra load and find requests executed twice");
DEFINE_string(output, "text", "text (a table and a JSON line) or json");

namespace
{

using namespace wisteriahatch;

// Exit statuses besides EXIT_SUCCESS; documented in the manual page.
constexpr int exit_usage = 1;
constexpr int exit_no_answer = 2;
constexpr int exit_violation = 3;
constexpr int exit_counters = 4;
constexpr int exit_internal = 5;

load_arguments read_flags()
{
    return {.entries = FLAGS_entries,
            .admin_ports = FLAGS_admin_ports,
            .upstream_counters = FLAGS_upstream_counters,
            .service = FLAGS_service,
            .caller_class = FLAGS_class,
            .rate = FLAGS_rate,
            .duration_s = FLAGS_duration_s,
            .warmup_s = FLAGS_warmup_s,
            .arrivals = FLAGS_arrivals,
            .seed = FLAGS_seed,
            .deadline_ms = FLAGS_deadline_ms,
            .connections = FLAGS_connections,
            .mode = FLAGS_mode,
            .repeat = FLAGS_repeat};
}

// Sends the load and returns the work that the upstreams started for it.
result<upstream_work> measure(const load_options& options, load_driver& driver)
{
    if (options.upstream_counters.empty())
    {
        driver.run();
        return upstream_work();
    }
    BOOST_OUTCOME_TRY(auto before,
                      read_upstream_counters(options.upstream_counters));
    driver.run();
    BOOST_OUTCOME_TRY(auto after,
                      read_upstream_counters(options.upstream_counters));
    return upstream_work(after.since(before));
}

int exit_status_of(const load_driver& driver, const upstream_work& work)
{
    if (!driver.violations().empty() || (work && work->executed_twice() > 0))
        return exit_violation;
    for (const class_report& report : driver.classes())
    {
        if (report.answers() > 0)
            return EXIT_SUCCESS;
    }
    return exit_no_answer;
}

int run_program()
{
    const result<load_options> options = parse_arguments(read_flags());
    if (!options)
    {
        std::cerr << "wisteriahatch-load: " << options.error().message << '\n';
        return exit_usage;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
    {
        std::cerr << "wisteriahatch-load: --output is \"" << FLAGS_output
                  << "\" and must be text or json\n";
        return exit_usage;
    }
    boost::asio::io_context context(1);
    load_driver driver(context, options.value());
    const result<upstream_work> work = measure(options.value(), driver);
    if (!work)
    {
        std::cerr << "wisteriahatch-load: " << work.error().message << '\n';
        return exit_counters;
    }
    const boost::json::object report =
        make_report(options.value(), driver, work.value());
    if (FLAGS_output == "text")
        std::cout << format_report(report);
    std::cout << boost::json::serialize(report) << '\n';
    return exit_status_of(driver, work.value());
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage(
        "sends requests at fixed times, whatever the answers, and reports "
        "latency from the intended start.\n"
        "Exit status: 0 figures printed; 1 bad option; 2 no request was "
        "answered; 3 a reply contradicts the caller interface; 4 the "
        "upstreams' counters cannot be read; 5 internal error");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    try
    {
        return run_program();
    }
    catch (const std::exception& failure)
    {
        std::cerr << "wisteriahatch-load: " << failure.what() << '\n';
        return exit_internal;
    }
}
