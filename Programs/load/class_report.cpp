#include "class_report.hpp"

#include <string_view>

namespace wisteriahatch
{

namespace
{

boost::json::object quantiles_to_json(const latency_histogram& latencies)
{
    return {{"count", latencies.count()},
            {"p50", latencies.quantile_ms(0.5)},
            {"p90", latencies.quantile_ms(0.9)},
            {"p99", latencies.quantile_ms(0.99)},
            {"p99_9", latencies.quantile_ms(0.999)},
            {"max", latencies.quantile_ms(1)}};
}

boost::json::object
counts_to_json(const std::map<std::string, std::uint64_t>& values)
{
    boost::json::object object;
    for (const auto& [name, count] : values)
        object[name] = count;
    return object;
}

// Returns 0 if `whole` is 0.
double ratio(double part, std::uint64_t whole)
{
    return whole == 0 ? 0 : part / static_cast<double>(whole);
}

}

void class_report::record(const request_outcome& outcome)
{
    this->all_latencies.record(outcome.latency);
    const std::uint64_t total = outcome.covered + outcome.lacked;
    if (total > 0)
    {
        ++this->requests_with_shards;
        this->shard_count += total;
        this->coverage_sum +=
            ratio(static_cast<double>(outcome.covered), total);
    }
    if (!outcome.error.empty())
    {
        ++this->errors[outcome.error];
        return;
    }
    this->answer_latencies.record(outcome.latency);
    if (outcome.is_complete)
        ++this->complete_answers;
    if (outcome.latency <= outcome.deadline)
        ++this->goodput_count;
}

void class_report::count_cut(bool was_reused)
{
    ++this->cut;
    if (was_reused)
        ++this->cut_on_reused;
}

void class_report::count_outcome(const std::string& outcome)
{
    ++this->outcomes[outcome];
}

std::uint64_t class_report::requests() const
{
    return this->all_latencies.count();
}

std::uint64_t class_report::answers() const
{
    return this->answer_latencies.count();
}

boost::json::object class_report::to_json(duration elapsed) const
{
    const double elapsed_s = std::chrono::duration<double>(elapsed).count();
    boost::json::object figures{
        {"requests", this->all_latencies.count()},
        {"rate_s",
         static_cast<double>(this->all_latencies.count()) / elapsed_s},
        {"answers", this->answer_latencies.count()},
        {"goodput", this->goodput_count},
        {"goodput_s", static_cast<double>(this->goodput_count) / elapsed_s},
        {"goodput_ratio", ratio(static_cast<double>(this->goodput_count),
                                this->all_latencies.count())},
        {"answer_ms", quantiles_to_json(this->answer_latencies)},
        {"end_ms", quantiles_to_json(this->all_latencies)},
        {"coverage_mean",
         ratio(this->coverage_sum, this->requests_with_shards)},
        {"complete_ratio", ratio(static_cast<double>(this->complete_answers),
                                 this->answer_latencies.count())},
        {"shards_per_query", ratio(static_cast<double>(this->shard_count),
                                   this->requests_with_shards)},
        {"cut", this->cut},
        {"cut_on_reused_connection", this->cut_on_reused},
        {"errors", counts_to_json(this->errors)}};
    if (!this->outcomes.empty())
        figures["outcomes"] = counts_to_json(this->outcomes);
    return figures;
}

}
