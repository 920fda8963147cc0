#include "settings.hpp"

#include "net/settings_file.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <boost/property_tree/ptree.hpp>
#include <string_view>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;
using boost::property_tree::ptree;

result<void> read_platform_address(settings& values, const std::string& text)
{
    BOOST_OUTCOME_TRY(auto address, parse_endpoint(text));
    values.platform_address = address;
    return boost::outcome_v2::success();
}

template <class Number>
result<Number> read_number(const std::string& text, Number lowest,
                           Number highest)
{
    Number value{};
    if (boost::conversion::try_lexical_convert(text, value) &&
        value >= lowest && value <= highest)
        return value;
    return invalid_setting("write a whole number from " +
                           std::to_string(lowest) + " to " +
                           std::to_string(highest));
}

result<void> read_workers(settings& values, const std::string& text)
{
    BOOST_OUTCOME_TRY(auto number, read_number<long>(text, 1, 64));
    values.workers = static_cast<std::size_t>(number);
    return boost::outcome_v2::success();
}

result<void> read_seeds(settings& values, const std::string& text)
{
    boost::algorithm::split(values.seeds, text, boost::is_any_of(","));
    for (auto& seed : values.seeds)
        boost::algorithm::trim(seed);
    std::erase(values.seeds, "");
    for (const auto& seed : values.seeds)
    {
        BOOST_OUTCOME_TRY(parse_endpoint(seed));
    }
    return boost::outcome_v2::success();
}

result<void> read_choice(std::string& value, const std::string& text,
                         std::initializer_list<std::string_view> choices)
{
    if (std::find(choices.begin(), choices.end(), text) != choices.end())
    {
        value = text;
        return boost::outcome_v2::success();
    }
    std::string message = "write one of:";
    for (const auto choice : choices)
        message.append(" ").append(choice);
    return invalid_setting(message);
}

result<void> read_selector(settings& values, const std::string& text)
{
    return read_choice(values.policy.selector, text,
                       {"random", "least_in_flight", "two_choices"});
}

result<void> read_hedge_trigger(settings& values, const std::string& text)
{
    return read_choice(values.policy.hedge_trigger, text,
                       {"never", "fixed", "quantile"});
}

result<void> read_hedge_delay(settings& values, const std::string& text)
{
    BOOST_OUTCOME_TRY(auto number, read_number<long>(text, 1, 60000));
    values.policy.fixed_hedge_delay = std::chrono::milliseconds(number);
    return boost::outcome_v2::success();
}

result<void> read_drain_grace(settings& values, const std::string& text)
{
    BOOST_OUTCOME_TRY(auto number, read_number<long>(text, 0, 600000));
    values.drain_grace = std::chrono::milliseconds(number);
    return boost::outcome_v2::success();
}

template <std::size_t settings::*Member>
result<void> read_count(settings& values, const std::string& text)
{
    BOOST_OUTCOME_TRY(auto number, read_number<long>(text, 1, 1000000000));
    values.*Member = static_cast<std::size_t>(number);
    return boost::outcome_v2::success();
}

result<void> read_log_level(settings& values, const std::string& text)
{
    return read_choice(values.log_level, text,
                       {"debug", "info", "warning", "error"});
}

using key_reader = settings_key<settings>;

constexpr std::array key_readers{
    key_reader{"instance", "name", presence::required,
               read_text<&settings::name, settings>},
    key_reader{"instance", "environment", presence::required,
               read_text<&settings::environment, settings>},
    key_reader{"instance", "failure_domain", presence::required,
               read_text<&settings::failure_domain, settings>},
    key_reader{"instance", "caller_address", presence::required,
               read_address<&settings::caller_address, settings>},
    key_reader{"instance", "admin_address", presence::required,
               read_address<&settings::admin_address, settings>},
    key_reader{"instance", "peer_address", presence::required,
               read_address<&settings::peer_address, settings>},
    key_reader{"instance", "workers", presence::optional, read_workers},
    key_reader{"platform", "address", presence::optional,
               read_platform_address},
    key_reader{"peers", "seeds", presence::optional, read_seeds},
    key_reader{"policy", "selector", presence::optional, read_selector},
    key_reader{"policy", "hedge_trigger", presence::optional,
               read_hedge_trigger},
    key_reader{"policy", "fixed_hedge_delay_ms", presence::optional,
               read_hedge_delay},
    key_reader{"shutdown", "drain_grace_ms", presence::optional,
               read_drain_grace},
    key_reader{"memory", "limit_mb", presence::optional,
               read_count<&settings::memory_mb>},
    key_reader{"memory", "descriptors", presence::optional,
               read_count<&settings::descriptors>},
    key_reader{"log", "level", presence::optional, read_log_level},
};

const key_reader* find_reader(std::string_view section, std::string_view key)
{
    const auto* found =
        std::find_if(key_readers.begin(), key_readers.end(),
                     [&](const key_reader& each)
                     { return each.section == section && each.key == key; });
    return found == key_readers.end() ? nullptr : found;
}

result<void> read_section(settings& values, const std::string& section,
                          const ptree& keys)
{
    for (const auto& [key, value] : keys)
    {
        auto setting_name = "[" + section + "] ";
        setting_name += key;
        const auto* reader = find_reader(section, key);
        if (reader == nullptr)
            return invalid_setting(setting_name +
                                   " is not a known setting; remove it or see "
                                   "docs/wisteriahatch-entry.1.md");
        const auto text = value.data();
        const auto read = reader->read(values, text);
        if (!read)
            return invalid_setting(
                setting_name.append(" = \"").append(text).append("\": ").append(
                    read.error().message));
    }
    return boost::outcome_v2::success();
}

}

result<settings> read_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto tree, read_settings_file(path));
    settings values;
    for (const auto& [section, keys] : tree)
    {
        BOOST_OUTCOME_TRY(read_section(values, section, keys));
    }
    for (const auto& each : key_readers)
    {
        const auto section = tree.find(std::string(each.section));
        const bool is_present = section != tree.not_found() &&
                                section->second.count(std::string(each.key));
        if (each.needed == presence::required && !is_present)
            return invalid_setting("[" + std::string(each.section) + "] " +
                                   std::string(each.key) +
                                   " is missing; add it to " + path);
    }
    return values;
}

}
