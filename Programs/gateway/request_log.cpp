#include "request_log.hpp"

#include "telemetry/log.hpp"

#include <algorithm>
#include <chrono>

namespace wisteriahatch
{

namespace
{

std::string format_milliseconds(duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

// Describes the legs without an answer, separated by commas, each as its
// service, number of sends, last failure and number of attempts that still ran:
// "quotes:2:refused:1".
std::string
describe_unanswered_legs(const std::vector<fan_out::leg_outcome>& legs)
{
    std::string text;
    for (const auto& leg : legs)
    {
        if (leg.answer)
            continue;
        if (!text.empty())
            text += ',';
        text += leg.service + ":" + std::to_string(leg.sends) + ":";
        text += leg.last_failure ? to_string(*leg.last_failure) : "none";
        text += ":" + std::to_string(leg.running);
    }
    return text;
}

std::size_t count_answered_legs(const std::vector<fan_out::leg_outcome>& legs)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(legs, [](const fan_out::leg_outcome& leg)
                              { return leg.answer.has_value(); }));
}

}

request_log::request_log(forwarding_metrics& values)
    : measures(&values)
{
}

void request_log::record_end(const accepted_request& accepted,
                             const forwarded_request& outcome, unsigned status,
                             time_point now)
{
    const auto& route = *accepted.route;
    const auto elapsed = now - accepted.received;
    const auto answered_legs = count_answered_legs(outcome.legs);
    this->measures->observe_request(route.name, status, elapsed);
    this->measures->count_repeats(route.name, outcome.repeats);
    this->measures->count_denied_repeats(route.name, outcome.denied_repeats);
    if (route.is_scattered() && outcome.result == fan_out_result::answered)
        this->measures->observe_coverage(
            route.name, static_cast<double>(answered_legs) /
                            static_cast<double>(outcome.legs.size()));
    const bool is_routine =
        outcome.result == fan_out_result::answered &&
        answered_legs == outcome.legs.size() && outcome.repeats == 0 &&
        elapsed + accepted.round_trip <= accepted.target_latency;
    const auto left_out =
        (is_routine ? this->routine_lines : this->notable_lines).admit(now);
    if (!left_out)
        return;
    log_event(
        is_routine ? log_level::info : log_level::warning, "request_ended",
        {{"id", accepted.id},
         {"route", route.name},
         {"version", std::to_string(accepted.routes->version())},
         {"result", std::string(to_string(outcome.result))},
         {"status", std::to_string(status)},
         {"legs", std::to_string(outcome.legs.size())},
         {"lacked", describe_unanswered_legs(outcome.legs)},
         {"upstreams", outcome.upstreams},
         {"sends", std::to_string(outcome.sends)},
         {"repeats", std::to_string(outcome.repeats)},
         {"repeats_denied", std::to_string(outcome.denied_repeats)},
         {"sends_withheld", std::to_string(outcome.withheld_sends)},
         {"max_attempts", std::to_string(route.max_attempts)},
         {"retries", std::string(to_string(route.retries))},
         {"elapsed_ms", format_milliseconds(elapsed)},
         {"round_trip_ms", format_milliseconds(accepted.round_trip)},
         {"left_ms", format_milliseconds(accepted.schedule.deadline - now)},
         {"left_out", std::to_string(*left_out)}});
}

void request_log::record_attempt(const ended_attempt& attempt)
{
    this->measures->count_attempt(attempt.service, to_string(attempt.end));
    if (attempt.end == attempt_outcome::answered)
        return;
    const auto left_out =
        this->attempt_lines.admit(std::chrono::steady_clock::now());
    if (!left_out)
        return;
    log_event(log_level::warning, "attempt_ended",
              {{"id", std::string(attempt.request_id)},
               {"service", std::string(attempt.service)},
               {"upstream", std::string(attempt.upstream)},
               {"end", std::string(to_string(attempt.end))},
               {"reason", std::string(attempt.reason)},
               {"elapsed_ms", format_milliseconds(attempt.elapsed)},
               {"left_out", std::to_string(*left_out)}});
}

void request_log::record_abandoned(const accepted_request& accepted,
                                   time_point now)
{
    const auto left_out = this->notable_lines.admit(now);
    if (!left_out)
        return;
    log_event(log_level::info, "request_abandoned",
              {{"id", accepted.id},
               {"route", accepted.route->name},
               {"version", std::to_string(accepted.routes->version())},
               {"elapsed_ms", format_milliseconds(now - accepted.received)},
               {"left_out", std::to_string(*left_out)}});
}

void request_log::record_refused(const std::string& id, std::string_view reason,
                                 unsigned status, time_point now)
{
    this->measures->observe_request("none", status, duration(0));
    const auto left_out = this->notable_lines.admit(now);
    if (!left_out)
        return;
    log_event(log_level::warning, "request_refused",
              {{"id", id},
               {"reason", std::string(reason)},
               {"status", std::to_string(status)},
               {"left_out", std::to_string(*left_out)}});
}

void request_log::record_not_admitted(const accepted_request& accepted,
                                      std::string_view reason, unsigned status,
                                      duration retry_after, time_point now)
{
    const auto& route = *accepted.route;
    const auto elapsed = now - accepted.received;
    this->measures->observe_request(route.name, status, elapsed);
    this->count_admission(accepted, "refused_" + std::string(reason));
    const auto left_out = this->notable_lines.admit(now);
    if (!left_out)
        return;
    log_event(log_level::warning, "request_refused",
              {{"id", accepted.id},
               {"reason", std::string(reason)},
               {"route", route.name},
               {"status", std::to_string(status)},
               {"elapsed_ms", format_milliseconds(elapsed)},
               {"retry_after_ms", format_milliseconds(retry_after)},
               {"left_out", std::to_string(*left_out)}});
}

void request_log::count_admission(const accepted_request& accepted,
                                  std::string_view decision)
{
    this->measures->count_admission(accepted.route->name, decision);
}

void request_log::record_unrouted(const std::string& id,
                                  const http_request& request,
                                  std::uint64_t version, duration source_age,
                                  unsigned status, time_point now)
{
    this->measures->observe_request("none", status, duration(0));
    const auto left_out = this->notable_lines.admit(now);
    if (!left_out)
        return;
    log_event(log_level::warning, "request_unrouted",
              {{"id", id},
               {"host",
                std::string(find_header(request.headers, "host").value_or(""))},
               {"target", request.target},
               {"version", std::to_string(version)},
               {"source_age_ms", format_milliseconds(source_age)},
               {"status", std::to_string(status)},
               {"left_out", std::to_string(*left_out)}});
}

void log_rate_limit(const rate_limit_report& report, std::string_view origin)
{
    const auto& limit = report.per_second;
    log_event(log_level::info, "upstream_limit_changed",
              {{"upstream", report.upstream},
               {"per_second", limit ? std::to_string(*limit) : "none"},
               {"origin", std::string(origin)}});
}

}
