#include "upstream_counters.hpp"

#include "net/http_client.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace wisteriahatch
{

namespace
{

// The counters list every run since the stand-in started.
constexpr std::size_t max_reply_bytes = std::size_t{64} * 1024 * 1024;

// Returns 0 if the field is missing or not a number.
std::uint64_t number_of(const boost::json::object& object, std::string_view key)
{
    const boost::json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_number())
        return 0;
    return value->to_number<std::uint64_t>();
}

// Adds the counters of one upstream.
void add_upstream(upstream_counters& sum, const boost::json::object& counters)
{
    sum.searches_started += number_of(counters, "searches_started");
    sum.runs_started += number_of(counters, "runs_started");
    const boost::json::value* ids = counters.if_contains("run_ids");
    if (ids == nullptr || !ids->is_object())
        return;
    for (const auto& member : ids->get_object())
    {
        sum.run_ids[std::string(std::string_view(member.key()))] +=
            number_of(ids->get_object(), std::string_view(member.key()));
    }
}

// A reply holds the counters of one upstream, or, from an admin port, an object
// per upstream under its name.
void add_reply(upstream_counters& sum, const boost::json::object& reply)
{
    if (reply.contains("searches_started"))
    {
        add_upstream(sum, reply);
        return;
    }
    for (const auto& member : reply)
    {
        if (member.value().is_object())
            add_upstream(sum, member.value().get_object());
    }
}

}

upstream_counters
upstream_counters::since(const upstream_counters& before) const
{
    upstream_counters started{
        .searches_started = this->searches_started - before.searches_started,
        .runs_started = this->runs_started - before.runs_started};
    for (const auto& [id, count] : this->run_ids)
    {
        const auto earlier = before.run_ids.find(id);
        if (earlier == before.run_ids.end() || earlier->second < count)
            started.run_ids.emplace(id, count);
    }
    return started;
}

std::uint64_t upstream_counters::executed_twice() const
{
    return static_cast<std::uint64_t>(
        std::count_if(this->run_ids.begin(), this->run_ids.end(),
                      [](const auto& run) { return run.second > 1; }));
}

result<upstream_counters> read_upstream_counters(
    const std::vector<boost::asio::ip::tcp::endpoint>& upstreams)
{
    upstream_counters sum;
    for (const auto& upstream : upstreams)
    {
        BOOST_OUTCOME_TRY(
            auto reply,
            fetch_blocking(upstream, {.target = "/counters",
                                      .max_reply_bytes = max_reply_bytes}));
        boost::json::error_code failure;
        const boost::json::value value =
            boost::json::parse(reply.body, failure);
        if (failure || !value.is_object())
        {
            return error{error_kind::internal,
                         "GET /counters of " + upstream.address().to_string() +
                             ":" + std::to_string(upstream.port()) +
                             " is no JSON object; name upstream stand-ins"};
        }
        add_reply(sum, value.get_object());
    }
    return sum;
}

}
