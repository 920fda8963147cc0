#include "load_report.hpp"

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace wisteriahatch
{

namespace
{

namespace json = boost::json;

json::object describe_upstreams(const load_driver& driver,
                                const upstream_counters& work)
{
    const auto required = static_cast<double>(driver.required_sub_requests());
    const double ratio =
        required == 0 ? 0
                      : static_cast<double>(work.searches_started) / required;
    return {{"searches_started", work.searches_started},
            {"runs_started", work.runs_started},
            {"runs_executed_twice", work.executed_twice()},
            {"needed", driver.required_sub_requests()},
            {"load_ratio", ratio},
            {"queries_without_shard_count", driver.queries_without_shards()}};
}

// Writes a line with "name=count" for each member; nothing if there are none.
void write_counts(std::ostream& out, const char* title,
                  const json::object& counts)
{
    if (counts.empty())
        return;
    out << "  " << title << ':';
    for (const auto& member : counts)
        out << ' ' << member.key() << '=' << member.value();
    out << '\n';
}

void write_class(std::ostream& out, const json::object& figures)
{
    const json::object& answer = figures.at("answer_ms").as_object();
    out << "  requests " << figures.at("requests") << ", answers "
        << figures.at("answers") << ", goodput "
        << figures.at("goodput_s").to_number<double>() << "/s ("
        << figures.at("goodput_ratio").to_number<double>() * 100 << "%)\n"
        << "  latency p50 " << answer.at("p50").to_number<double>()
        << " ms, p99 " << answer.at("p99").to_number<double>() << " ms, p99.9 "
        << answer.at("p99_9").to_number<double>() << " ms\n  coverage mean "
        << figures.at("coverage_mean").to_number<double>() << ", complete "
        << figures.at("complete_ratio").to_number<double>()
        << ", shards a query "
        << figures.at("shards_per_query").to_number<double>() << ", cut "
        << figures.at("cut") << '\n';
    write_counts(out, "errors", figures.at("errors").as_object());
    if (const json::value* outcomes = figures.if_contains("outcomes"))
        write_counts(out, "outcomes", outcomes->as_object());
}

}

json::object make_report(const load_options& options, const load_driver& driver,
                         const upstream_work& work)
{
    json::object classes;
    for (std::size_t index = 0; index < options.classes.size(); ++index)
    {
        json::object figures =
            driver.classes()[index].to_json(options.duration - options.warmup);
        figures["rate_asked_s"] = options.classes[index].rate;
        figures["deadline_ms"] = options.classes[index].deadline.count();
        classes[options.classes[index].name] = std::move(figures);
    }
    json::object violations;
    for (const auto& [kind, count] : driver.violations())
        violations[kind] = count;
    json::object report{
        {"program", "wisteriahatch-load"},
        {"mode", options.mode == load_mode::runs ? "runs" : "queries"},
        {"service", options.service},
        {"seed", options.seed},
        {"arrivals",
         options.arrivals == arrival_process::uniform ? "uniform" : "poisson"},
        {"duration_ms", options.duration.count()},
        {"warmup_ms", options.warmup.count()},
        {"connections", options.connections},
        {"classes", std::move(classes)},
        {"violations", std::move(violations)}};
    if (work)
        report["upstreams"] = describe_upstreams(driver, *work);
    return report;
}

std::string format_report(const json::object& report)
{
    std::ostringstream out;
    out << std::setprecision(4);
    for (const auto& member : report.at("classes").as_object())
    {
        out << "class " << std::string_view(member.key()) << '\n';
        write_class(out, member.value().as_object());
    }
    if (const json::value* upstreams = report.if_contains("upstreams"))
        write_counts(out, "upstreams", upstreams->as_object());
    write_counts(out, "violations", report.at("violations").as_object());
    return out.str();
}

}
