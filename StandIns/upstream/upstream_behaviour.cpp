#include "StandIns/upstream/upstream_behaviour.hpp"

#include <boost/json/value_to.hpp>
#include <charconv>
#include <functional>
#include <sstream>

namespace wisteriahatch
{

namespace
{

using behaviour_setter =
    std::function<void(upstream_behaviour&, const boost::json::value&)>;

// Returns a setter of one member. value_to throws on a wrong type.
template <class Member>
behaviour_setter set_member(Member upstream_behaviour::*member)
{
    return
        [member](upstream_behaviour& behaviour, const boost::json::value& value)
    { behaviour.*member = boost::json::value_to<Member>(value); };
}

void set_reported_load(upstream_behaviour& behaviour,
                       const boost::json::value& value)
{
    behaviour.reported_load.reset();
    if (!value.is_null())
        behaviour.reported_load = boost::json::value_to<double>(value);
}

void set_versions(upstream_behaviour& behaviour,
                  const boost::json::value& value)
{
    behaviour.versions.clear();
    for (const auto& [service, list] : value.as_object())
        behaviour.versions[std::string(service)] =
            boost::json::value_to<std::vector<std::uint64_t>>(list);
}

const std::map<std::string, behaviour_setter, std::less<>>& setters()
{
    using self = upstream_behaviour;
    static const std::map<std::string, behaviour_setter, std::less<>> table{
        {"slots", set_member(&self::slots)},
        {"queue", set_member(&self::queue)},
        {"latency_ms", set_member(&self::latency_ms)},
        {"latency_model", set_member(&self::latency_model)},
        {"straggler_factor", set_member(&self::straggler_factor)},
        {"cold_start_ms", set_member(&self::cold_start_ms)},
        {"cold_start_factor", set_member(&self::cold_start_factor)},
        {"versions", set_versions},
        {"draining", set_member(&self::draining)},
        {"shed_all", set_member(&self::shed_all)},
        {"pause_replies", set_member(&self::pause_replies)},
        {"fail_fast", set_member(&self::fail_fast)},
        {"truncate_replies", set_member(&self::truncate_replies)},
        {"oversize_bytes", set_member(&self::oversize_bytes)},
        {"wrong_request_id", set_member(&self::wrong_request_id)},
        {"wrong_version", set_member(&self::wrong_version)},
        {"wrong_shard", set_member(&self::wrong_shard)},
        {"reported_load", set_reported_load},
    };
    return table;
}

}

result<void> change_behaviour(upstream_behaviour& behaviour,
                              const boost::json::object& control)
{
    auto changed = behaviour;
    for (const auto& [key, value] : control)
    {
        const auto found = setters().find(std::string_view(key));
        if (found == setters().end())
            return error{error_kind::malformed_request,
                         "unknown control key \"" + std::string(key) + "\""};
        try
        {
            found->second(changed, value);
        }
        catch (const std::exception& failure)
        {
            return error{
                error_kind::malformed_request,
                "control key \"" + std::string(key) +
                    "\" has a value of a wrong type: " + failure.what()};
        }
    }
    behaviour = std::move(changed);
    return boost::outcome_v2::success();
}

result<std::map<std::string, std::vector<std::uint64_t>, std::less<>>>
parse_versions(const std::string& text)
{
    const error malformed{error_kind::invalid_settings,
                          "versions \"" + text +
                              "\" are not of the form service=1,2;other=1"};
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> versions;
    std::istringstream services(text);
    for (std::string item; std::getline(services, item, ';');)
    {
        const auto equals = item.find('=');
        if (equals == std::string::npos)
            return malformed;
        auto& list = versions[item.substr(0, equals)];
        std::istringstream numbers(item.substr(equals + 1));
        for (std::string number; std::getline(numbers, number, ',');)
        {
            std::uint64_t value = 0;
            const auto* end = number.data() + number.size();
            const auto parsed = std::from_chars(number.data(), end, value);
            if (parsed.ec != std::errc() || parsed.ptr != end)
                return malformed;
            list.push_back(value);
        }
    }
    return versions;
}

}
