#include "load_options.hpp"

#include "net/http_client.hpp"

#include <boost/algorithm/string/split.hpp>
#include <charconv>

namespace wisteriahatch
{

namespace
{

// Limits of one measurement, so that a mistyped option can't overload the
// machine for long.
constexpr double max_duration_s = 3600;
constexpr double max_requests = 20e6;
constexpr unsigned max_connections = 4096;

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text,
                            [separator](char character)
                            { return character == separator; });
    return parts;
}

error invalid(const std::string& message)
{
    return {error_kind::invalid_settings, message};
}

result<std::vector<boost::asio::ip::tcp::endpoint>>
parse_endpoints(const std::string& text)
{
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
    if (text.empty())
        return endpoints;
    for (const std::string& part : split(text, ','))
    {
        BOOST_OUTCOME_TRY(auto endpoint, parse_endpoint(part));
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

result<double> parse_positive(const std::string& text)
{
    double value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || !(value > 0))
        return invalid("--rate: \"" + text +
                       "\" is not a positive number; write for example "
                       "100 or counter:100,browse:50:800");
    return value;
}

// Parses "class:rate" or "class:rate:deadline_ms".
result<class_load> parse_class(const std::string& text,
                               std::chrono::milliseconds deadline)
{
    const std::vector<std::string> parts = split(text, ':');
    if (parts.size() < 2 || parts.size() > 3 || parts[0].empty())
        return invalid("--rate: \"" + text +
                       "\" must be class:rate or class:rate:deadline_ms");
    class_load parsed{.name = parts[0], .deadline = deadline};
    BOOST_OUTCOME_TRY(parsed.rate, parse_positive(parts[1]));
    if (parts.size() == 3)
    {
        BOOST_OUTCOME_TRY(auto milliseconds, parse_positive(parts[2]));
        parsed.deadline = std::chrono::milliseconds(
            static_cast<std::chrono::milliseconds::rep>(milliseconds));
    }
    return parsed;
}

result<std::vector<class_load>> parse_classes(const load_arguments& arguments)
{
    const std::chrono::milliseconds deadline(arguments.deadline_ms);
    std::vector<class_load> classes;
    if (arguments.rate.find(':') == std::string::npos)
    {
        if (arguments.caller_class.empty())
            return invalid("--class is missing; name the class or write "
                           "--rate=class:rate");
        class_load only{.name = arguments.caller_class, .deadline = deadline};
        BOOST_OUTCOME_TRY(only.rate, parse_positive(arguments.rate));
        classes.push_back(only);
        return classes;
    }
    for (const std::string& part : split(arguments.rate, ','))
    {
        BOOST_OUTCOME_TRY(auto parsed, parse_class(part, deadline));
        classes.push_back(parsed);
    }
    return classes;
}

result<void> check_bounds(const load_options& options)
{
    const double duration_s =
        std::chrono::duration<double>(options.duration).count();
    double rate = 0;
    for (const class_load& entry : options.classes)
        rate += entry.rate;
    if (!(duration_s > 0) || duration_s > max_duration_s)
        return invalid("--duration_s is " + std::to_string(duration_s) +
                       " and must be above 0 and at most 3600");
    if (rate * duration_s > max_requests)
        return invalid("--rate times --duration_s is " +
                       std::to_string(rate * duration_s) +
                       " and must be at most 20 million requests");
    if (options.warmup.count() < 0 || options.warmup >= options.duration)
        return invalid("--warmup_s must be at least 0 and less than "
                       "--duration_s");
    if (options.connections == 0 || options.connections > max_connections)
        return invalid("--connections is " +
                       std::to_string(options.connections) +
                       " and must be from 1 to 4096");
    if (!(options.repeat >= 0 && options.repeat <= 1))
        return invalid("--repeat is " + std::to_string(options.repeat) +
                       " and must be from 0 to 1");
    for (const class_load& entry : options.classes)
    {
        if (entry.deadline.count() <= 0)
            return invalid(
                "--deadline_ms is " + std::to_string(entry.deadline.count()) +
                " for class " + entry.name + " and must be positive");
    }
    return boost::outcome_v2::success();
}

std::chrono::milliseconds from_seconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(seconds));
}

}

result<load_options> parse_arguments(const load_arguments& arguments)
{
    load_options options{.service = arguments.service,
                         .duration = from_seconds(arguments.duration_s),
                         .warmup = from_seconds(arguments.warmup_s),
                         .seed = arguments.seed,
                         .connections = arguments.connections,
                         .repeat = arguments.repeat};
    BOOST_OUTCOME_TRY(options.entries, parse_endpoints(arguments.entries));
    BOOST_OUTCOME_TRY(options.admin_ports,
                      parse_endpoints(arguments.admin_ports));
    BOOST_OUTCOME_TRY(options.upstream_counters,
                      parse_endpoints(arguments.upstream_counters));
    BOOST_OUTCOME_TRY(options.classes, parse_classes(arguments));
    if (options.entries.empty())
        return invalid("--entries is missing; write IP:port,IP:port");
    if (!options.admin_ports.empty() &&
        options.admin_ports.size() != options.entries.size())
        return invalid("--admin_ports names " +
                       std::to_string(options.admin_ports.size()) +
                       " ports for " + std::to_string(options.entries.size()) +
                       " entries; name one per entry, in the order of "
                       "--entries");
    if (options.service.empty())
        return invalid("--service is missing; name a service of the document");
    if (arguments.mode != "queries" && arguments.mode != "runs")
        return invalid("--mode is \"" + arguments.mode +
                       "\" and must be queries or runs");
    if (arguments.arrivals != "poisson" && arguments.arrivals != "uniform")
        return invalid("--arrivals is \"" + arguments.arrivals +
                       "\" and must be poisson or uniform");
    options.mode =
        arguments.mode == "runs" ? load_mode::runs : load_mode::queries;
    options.arrivals = arguments.arrivals == "uniform"
                           ? arrival_process::uniform
                           : arrival_process::poisson;
    BOOST_OUTCOME_TRY(check_bounds(options));
    return options;
}

}
