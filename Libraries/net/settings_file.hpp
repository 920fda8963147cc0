#ifndef WISTERIAHATCH_NET_SETTINGS_FILE_HPP
#define WISTERIAHATCH_NET_SETTINGS_FILE_HPP

#include "core/base/error.hpp"
#include "net/http_client.hpp"

#include <boost/property_tree/ptree_fwd.hpp>
#include <cstdint>
#include <string>
#include <string_view>

// Parts shared by the settings files of all programs: INI sections with keys,
// and the rows of a table that maps each key to the function that reads it.
namespace wisteriahatch
{

enum class presence : std::uint8_t
{
    required,
    optional,
};

// One key of a settings file and the function that reads its value.
template <class Settings>
struct settings_key
{
    std::string_view section;
    std::string_view key;
    presence needed;
    result<void> (*read)(Settings&, const std::string&);
};

inline error invalid_setting(const std::string& message)
{
    return {error_kind::invalid_settings, message};
}

// Parses the file; the error names the line.
result<boost::property_tree::ptree> read_settings_file(const std::string& path);

// Stores the value unchanged.
template <auto Member, class Settings>
result<void> read_text(Settings& values, const std::string& text)
{
    values.*Member = text;
    return boost::outcome_v2::success();
}

// Parses the value as an address, "IP:port", and stores it.
template <auto Member, class Settings>
result<void> read_address(Settings& values, const std::string& text)
{
    BOOST_OUTCOME_TRY(values.*Member, parse_endpoint(text));
    return boost::outcome_v2::success();
}

}

#endif
