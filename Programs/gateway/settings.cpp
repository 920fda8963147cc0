#include "settings.hpp"

#include "net/settings_file.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <boost/property_tree/ptree.hpp>
#include <cmath>
#include <string_view>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;
using boost::property_tree::ptree;

constexpr double max_count = 1e9;

template <double gateway_settings::*Member>
result<void> read_number(gateway_settings& values, const std::string& text)
{
    if (!boost::conversion::try_lexical_convert(text, values.*Member) ||
        values.*Member < 0)
        return invalid_setting("write a number that is not negative");
    return boost::outcome_v2::success();
}

template <std::optional<double> gateway_settings::*Member>
result<void> read_optional_number(gateway_settings& values,
                                  const std::string& text)
{
    double number = 0;
    if (!boost::conversion::try_lexical_convert(text, number) ||
        !std::isfinite(number) || number < 0)
        return invalid_setting("write a number that is not negative");
    values.*Member = number;
    return boost::outcome_v2::success();
}

template <std::chrono::milliseconds gateway_settings::*Member>
result<void> read_seconds(gateway_settings& values, const std::string& text)
{
    double seconds = 0;
    if (!boost::conversion::try_lexical_convert(text, seconds) || seconds <= 0)
        return invalid_setting("write a positive number of seconds");
    values.*Member = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(seconds));
    return boost::outcome_v2::success();
}

result<void> read_evacuation_time(gateway_settings& values,
                                  const std::string& text)
{
    constexpr double max_milliseconds = 3600000;
    double milliseconds = 0;
    if (!boost::conversion::try_lexical_convert(text, milliseconds) ||
        !(milliseconds >= 0 && milliseconds <= max_milliseconds))
        return invalid_setting("write a number of milliseconds from 0 (off) to "
                               "3600000");
    if (milliseconds > 0)
        values.evacuation_apply_time =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double, std::milli>(milliseconds));
    return boost::outcome_v2::success();
}

template <std::chrono::milliseconds gateway_settings::*Member>
result<void> read_milliseconds(gateway_settings& values,
                               const std::string& text)
{
    // A longer time would overflow when it is added to a time point.
    constexpr std::uint32_t max_milliseconds = 86400000;
    std::uint32_t number = 0;
    if (text.starts_with('-') ||
        !boost::conversion::try_lexical_convert(text, number) || number == 0 ||
        number > max_milliseconds)
        return invalid_setting("write a whole number of milliseconds, from 1 "
                               "to 86400000");
    values.*Member = std::chrono::milliseconds(number);
    return boost::outcome_v2::success();
}

template <bool gateway_settings::*Member>
result<void> read_switch(gateway_settings& values, const std::string& text)
{
    if (text != "on" && text != "off")
        return invalid_setting("write on or off");
    values.*Member = text == "on";
    return boost::outcome_v2::success();
}

template <std::size_t gateway_settings::*Member>
result<void> read_count(gateway_settings& values, const std::string& text)
{
    double number = 0;
    if (!boost::conversion::try_lexical_convert(text, number) || number < 1 ||
        number > max_count)
        return invalid_setting("write a number from 1 to 1000000000");
    values.*Member = static_cast<std::size_t>(number);
    return boost::outcome_v2::success();
}

// Seeds are hints: malformed addresses are ignored.
result<void> read_seeds(gateway_settings& values, const std::string& text)
{
    values.seeds.clear();
    std::vector<std::string> addresses;
    boost::algorithm::split(addresses, text, boost::is_any_of(","));
    for (auto& address : addresses)
    {
        boost::algorithm::trim(address);
        if (parse_endpoint(address))
            values.seeds.push_back(address);
    }
    return boost::outcome_v2::success();
}

using key_reader = settings_key<gateway_settings>;

constexpr std::array key_readers{
    key_reader{"instance", "name", presence::optional,
               read_text<&gateway_settings::name, gateway_settings>},
    key_reader{"instance", "failure_domain", presence::optional,
               read_text<&gateway_settings::failure_domain, gateway_settings>},
    key_reader{
        "instance", "caller_address", presence::required,
        read_address<&gateway_settings::caller_address, gateway_settings>},
    key_reader{
        "instance", "ready_address", presence::required,
        read_address<&gateway_settings::ready_address, gateway_settings>},
    key_reader{
        "instance", "metrics_address", presence::optional,
        read_address<&gateway_settings::metrics_address, gateway_settings>},
    key_reader{"peers", "address", presence::optional,
               read_address<&gateway_settings::peer_address, gateway_settings>},
    key_reader{"peers", "seeds", presence::optional, read_seeds},
    key_reader{
        "store", "address", presence::required,
        read_address<&gateway_settings::store_address, gateway_settings>},
    key_reader{"shutdown", "grace_s", presence::optional,
               read_seconds<&gateway_settings::shutdown_grace>},
    key_reader{"drain", "bound_ms", presence::optional,
               read_milliseconds<&gateway_settings::drain_bound>},
    key_reader{"repeats", "ratio", presence::optional,
               read_number<&gateway_settings::repeat_ratio>},
    key_reader{"repeats", "slack", presence::optional,
               read_number<&gateway_settings::repeat_slack>},
    key_reader{"repeats", "window_s", presence::optional,
               read_seconds<&gateway_settings::repeat_window>},
    key_reader{"evacuation", "apply_ms", presence::optional,
               read_evacuation_time},
    key_reader{"warm_up", "overload", presence::optional,
               read_optional_number<&gateway_settings::warm_up_overload>},
    key_reader{"warm_up", "slack", presence::optional,
               read_optional_number<&gateway_settings::warm_up_slack>},
    key_reader{"features", "pressure", presence::optional,
               read_switch<&gateway_settings::has_admission>},
    key_reader{"memory", "limit_mb", presence::optional,
               read_count<&gateway_settings::memory_mb>},
    key_reader{"memory", "descriptors", presence::optional,
               read_count<&gateway_settings::descriptors>},
    key_reader{"log", "level", presence::optional,
               read_text<&gateway_settings::log_level, gateway_settings>},
};

// Returns the problem with one key; empty when there is none.
std::string read_key(gateway_settings& values, const ptree& tree,
                     const key_reader& reader)
{
    auto key_name = "[" + std::string(reader.section) + "] ";
    key_name += reader.key;
    const ptree::path_type path(
        std::string(reader.section) + "/" + std::string(reader.key), '/');
    const auto text = tree.get<std::string>(path, "");
    if (text.empty())
        return reader.needed == presence::required ? key_name + " is missing; "
                                                   : "";
    const auto read = reader.read(values, text);
    if (read)
        return "";
    return key_name + " = \"" + text + "\": " + read.error().message + "; ";
}

}

bool gateway_settings::follows_evacuations() const
{
    return this->evacuation_apply_time.has_value();
}

result<gateway_settings> read_gateway_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto tree, read_settings_file(path));
    gateway_settings values;
    std::string problems;
    for (const auto& reader : key_readers)
        problems += read_key(values, tree, reader);
    if (!problems.empty())
        return invalid_setting(problems +
                               "see docs/wisteriahatch-gateway.1.md");
    return values;
}

}
