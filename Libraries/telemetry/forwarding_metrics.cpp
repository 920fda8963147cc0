#include "telemetry/forwarding_metrics.hpp"

#include "telemetry/metric_families.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <string>
#include <vector>

namespace wisteriahatch
{

namespace
{

// Limits the number of values of one label.
class label_limiter
{
public:
    // Returns the value, or "other" when it is new and the limit is reached.
    std::string_view limit(std::string_view value)
    {
        if (this->values.contains(value))
            return value;
        if (this->values.size() >= forwarding_metrics::max_label_values)
            return "other";
        this->values.emplace(value);
        return value;
    }

private:
    std::set<std::string, std::less<>> values;
};

}

// The registry and one member per metric.
class forwarding_metrics::implementation
{
public:
    prometheus::Registry registry;
    label_limiter routes;
    label_limiter services;
    histogram_family latency{
        {.name = "wisteriahatch_request_duration_seconds",
         .help = "Time from receipt of a request to its answer.",
         .labels = {.first = "route", .second = "status"},
         .bounds = latency_bounds}};
    histogram_family coverage{
        {.name = "wisteriahatch_request_coverage_ratio",
         .help = "Shards in a merged answer over shards of the route.",
         .labels = {.first = "route"},
         .bounds = coverage_bounds}};
    counter_family attempts{registry,
                            "wisteriahatch_attempts_total",
                            "Ended attempts at upstreams.",
                            {.first = "service", .second = "end"}};
    counter_family repeats{registry,
                           "wisteriahatch_repeats_total",
                           "Sends beyond the first of a leg.",
                           {.first = "route"}};
    counter_family denied_repeats{registry,
                                  "wisteriahatch_repeats_denied_total",
                                  "Sends that the budget did not allow.",
                                  {.first = "route"}};
    prometheus::Counter& pauses =
        this->make_counter("wisteriahatch_upstream_pauses_total",
                           "Pauses that upstreams have asked for.");
    prometheus::Counter& left = this->make_counter(
        "wisteriahatch_upstreams_left_total",
        "Upstreams that have said in a reply that they leave.");
    prometheus::Counter& withheld = this->make_counter(
        "wisteriahatch_sends_withheld_total",
        "Calls not sent because their upstream leaves or wants a pause.");
    counter_family admissions{registry,
                              "wisteriahatch_admissions_total",
                              "Decisions whether to start a request.",
                              {.first = "route", .second = "decision"}};
    prometheus::Family<prometheus::Gauge>& room =
        prometheus::BuildGauge()
            .Name("wisteriahatch_admission_room_ratio")
            .Help("Part of the requests for which upstreams have room.")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& repeat_tokens =
        prometheus::BuildGauge()
            .Name("wisteriahatch_repeat_tokens")
            .Help("Repeats that this instance may send at once.")
            .Register(registry);
    prometheus::Gauge& version =
        make_gauge(registry, "wisteriahatch_routes_version",
                   "Version of the routes in force; 0 for none.");
    prometheus::Gauge& source_age =
        make_gauge(registry, "wisteriahatch_source_age_seconds",
                   "Time since the configuration source was last heard.");
    prometheus::Gauge& upstreams =
        make_gauge(registry, "wisteriahatch_upstreams", "Known upstreams.");
    prometheus::Gauge& ejected =
        make_gauge(registry, "wisteriahatch_upstreams_ejected",
                   "Upstreams that are ejected after failures.");
    prometheus::Gauge& running_attempts =
        make_gauge(registry, "wisteriahatch_running_attempts",
                   "Attempts that wait for a connection or an answer.");
    prometheus::Gauge& limited_upstreams =
        make_gauge(registry, "wisteriahatch_upstreams_limited",
                   "Upstreams that state a limit on their rate of requests.");
    prometheus::Gauge& evacuated_domains =
        make_gauge(registry, "wisteriahatch_evacuated_domains",
                   "Failure domains whose upstreams get no requests.");
    prometheus::Gauge& cold_upstreams = make_gauge(
        registry, "wisteriahatch_upstreams_cold", "Upstreams that are cold.");
    prometheus::Counter& cold_withheld =
        prometheus::BuildCounter()
            .Name("wisteriahatch_sends_withheld_cold_total")
            .Help("Sends withheld because the upstream was cold.")
            .Register(registry)
            .Add({});
    instance_gauges instance{registry};
    prometheus::Gauge& dropped_lines =
        make_gauge(registry, "wisteriahatch_log_lines_dropped",
                   "Log lines dropped because nobody read the output.");

private:
    prometheus::Counter& make_counter(const char* name, const char* help)
    {
        return prometheus::BuildCounter()
            .Name(name)
            .Help(help)
            .Register(this->registry)
            .Add({});
    }
};

forwarding_metrics::forwarding_metrics()
    : state(std::make_unique<implementation>())
{
}

forwarding_metrics::~forwarding_metrics() = default;

void forwarding_metrics::observe_request(std::string_view route,
                                         unsigned status, duration latency)
{
    this->state->latency.observe(seconds(latency),
                                 this->state->routes.limit(route),
                                 std::to_string(status));
}

void forwarding_metrics::observe_coverage(std::string_view route,
                                          double coverage)
{
    this->state->coverage.observe(coverage, this->state->routes.limit(route));
}

void forwarding_metrics::count_attempt(std::string_view service,
                                       std::string_view outcome)
{
    this->state->attempts.add(1, this->state->services.limit(service), outcome);
}

void forwarding_metrics::count_repeats(std::string_view route, double count)
{
    if (count > 0)
        this->state->repeats.add(count, this->state->routes.limit(route));
}

void forwarding_metrics::count_denied_repeats(std::string_view route,
                                              double count)
{
    if (count > 0)
        this->state->denied_repeats.add(count,
                                        this->state->routes.limit(route));
}

void forwarding_metrics::count_pause()
{
    this->state->pauses.Increment();
}

void forwarding_metrics::count_left_upstream()
{
    this->state->left.Increment();
}

void forwarding_metrics::count_withheld_send()
{
    this->state->withheld.Increment();
}

upstream_signal_counts forwarding_metrics::signal_counts() const
{
    const auto read = [](const prometheus::Counter& counter)
    { return static_cast<std::uint64_t>(counter.Value()); };
    return {.pauses = read(this->state->pauses),
            .left = read(this->state->left),
            .withheld = read(this->state->withheld)};
}

void forwarding_metrics::count_admission(std::string_view route,
                                         std::string_view decision)
{
    this->state->admissions.add(1, this->state->routes.limit(route), decision);
}

void forwarding_metrics::set_room(std::string_view route, double part)
{
    const std::string label(this->state->routes.limit(route));
    this->state->room.Add({{"route", label}}).Set(part);
}

void forwarding_metrics::set_repeat_tokens(std::string_view service,
                                           double tokens)
{
    const std::string label(this->state->services.limit(service));
    this->state->repeat_tokens.Add({{"service", label}}).Set(tokens);
}

void forwarding_metrics::set_routes_version(double version)
{
    this->state->version.Set(version);
}

void forwarding_metrics::set_source_age(duration age)
{
    this->state->source_age.Set(seconds(age));
}

void forwarding_metrics::set_upstreams(double count)
{
    this->state->upstreams.Set(count);
}

void forwarding_metrics::set_ejected_upstreams(double count)
{
    this->state->ejected.Set(count);
}

void forwarding_metrics::set_running_attempts(double count)
{
    this->state->running_attempts.Set(count);
}

void forwarding_metrics::set_limited_upstreams(double count)
{
    this->state->limited_upstreams.Set(count);
}

void forwarding_metrics::set_evacuated_domains(double count)
{
    this->state->evacuated_domains.Set(count);
}

void forwarding_metrics::set_cold_upstreams(double count)
{
    this->state->cold_upstreams.Set(count);
}

void forwarding_metrics::count_cold_withheld(double count)
{
    this->state->cold_withheld.Increment(count);
}

void forwarding_metrics::set_dropped_log_lines(double count)
{
    this->state->dropped_lines.Set(count);
}

instance_gauges& forwarding_metrics::instance()
{
    return this->state->instance;
}

std::string forwarding_metrics::text() const
{
    std::vector<prometheus::MetricFamily> families =
        this->state->registry.Collect();
    families.push_back(this->state->latency.collect());
    families.push_back(this->state->coverage.collect());
    return prometheus::TextSerializer().Serialize(families);
}

}
