#include "class_report.hpp"

#include <string_view>

namespace wisteriahatch
{

namespace
{

boost::json::object quantiles(const latency_histogram& latencies)
{
    return {{"count", latencies.count()},
            {"p50", latencies.quantile_ms(0.5)},
            {"p90", latencies.quantile_ms(0.9)},
            {"p99", latencies.quantile_ms(0.99)},
            {"p99_9", latencies.quantile_ms(0.999)},
            {"max", latencies.quantile_ms(1)}};
}

boost::json::object counts(const std::map<std::string, std::uint64_t>& values)
{
    boost::json::object object;
    for (const auto& [name, count] : values)
        object[name] = count;
    return object;
}

// Returns 0 for an empty whole.
double ratio(double part, std::uint64_t whole)
{
    return whole == 0 ? 0 : part / static_cast<double>(whole);
}

}

void class_report::record(const request_end& end)
{
    this->all.record(end.latency);
    const std::uint64_t total = end.covered + end.lacked;
    if (total > 0)
    {
        ++this->with_shards;
        this->shards += total;
        this->coverage_sum += ratio(static_cast<double>(end.covered), total);
    }
    if (!end.error.empty())
    {
        ++this->errors[end.error];
        return;
    }
    this->answered.record(end.latency);
    if (end.is_complete)
        ++this->complete;
    if (end.latency <= end.deadline)
        ++this->good;
}

void class_report::count_cut(bool was_reused)
{
    ++this->cut;
    if (was_reused)
        ++this->cut_reused;
}

void class_report::count_outcome(const std::string& outcome)
{
    ++this->outcomes[outcome];
}

std::uint64_t class_report::requests() const
{
    return this->all.count();
}

std::uint64_t class_report::answers() const
{
    return this->answered.count();
}

boost::json::object class_report::to_json(duration elapsed) const
{
    const double elapsed_s = std::chrono::duration<double>(elapsed).count();
    boost::json::object figures{
        {"requests", this->all.count()},
        {"rate_s", static_cast<double>(this->all.count()) / elapsed_s},
        {"answers", this->answered.count()},
        {"goodput", this->good},
        {"goodput_s", static_cast<double>(this->good) / elapsed_s},
        {"goodput_ratio",
         ratio(static_cast<double>(this->good), this->all.count())},
        {"answer_ms", quantiles(this->answered)},
        {"end_ms", quantiles(this->all)},
        {"coverage_mean", ratio(this->coverage_sum, this->with_shards)},
        {"complete_ratio",
         ratio(static_cast<double>(this->complete), this->answered.count())},
        {"shards_per_query",
         ratio(static_cast<double>(this->shards), this->with_shards)},
        {"cut", this->cut},
        {"cut_on_reused_connection", this->cut_reused},
        {"errors", counts(this->errors)}};
    if (!this->outcomes.empty())
        figures["outcomes"] = counts(this->outcomes);
    return figures;
}

}
