#include "upstream_counters.hpp"

#include "net/http_client.hpp"

#include <boost/json.hpp>

namespace wisteriahatch
{

namespace
{

// Returns 0 when the field is missing.
std::uint64_t number_of(const boost::json::object& object, std::string_view key)
{
    const boost::json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_number())
        return 0;
    return value->to_number<std::uint64_t>();
}

}

result<upstream_counters> read_upstream_counters(
    const std::vector<boost::asio::ip::tcp::endpoint>& upstreams)
{
    upstream_counters sum;
    for (const auto& upstream : upstreams)
    {
        BOOST_OUTCOME_TRY(auto reply,
                          fetch_blocking(upstream, {.target = "/counters"}));
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
        const boost::json::object& counters = value.get_object();
        sum.searches_started += number_of(counters, "searches_started");
        sum.runs_started += number_of(counters, "runs_started");
    }
    return sum;
}

}
