#include "core/base/json_fields.hpp"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/string.hpp>
#include <charconv>

namespace wisteriahatch
{

namespace
{

error malformed(std::string_view what, std::string_view expected)
{
    return {error_kind::malformed_request,
            "\"" + std::string(what) + "\" is missing or malformed; send " +
                std::string(expected)};
}

}

result<boost::json::object> parse_json_object(std::string_view text,
                                              std::size_t max_bytes)
{
    if (text.size() > max_bytes)
        return error{error_kind::body_too_large,
                     "the message is " + std::to_string(text.size()) +
                         " bytes long; send at most " +
                         std::to_string(max_bytes) + " bytes"};
    boost::json::parse_options options;
    options.max_depth = 8;
    boost::json::error_code failure;
    auto value = boost::json::parse(text, failure, {}, options);
    if (failure || !value.is_object())
        return error{error_kind::malformed_request,
                     "the message is not a JSON object; send one"};
    return std::move(value.as_object());
}

result<const boost::json::object*>
read_json_object(const boost::json::value& value, std::string_view what)
{
    const auto* found = value.if_object();
    if (found == nullptr)
        return malformed(what, "an object");
    return found;
}

result<const boost::json::array*>
read_json_array(const boost::json::object& object, std::string_view key,
                std::size_t max_items)
{
    const auto* value = object.if_contains(key);
    const auto* found = value == nullptr ? nullptr : value->if_array();
    if (found == nullptr || found->size() > max_items)
        return malformed(key, "an array of at most " +
                                  std::to_string(max_items) + " items");
    return found;
}

result<std::string> read_json_text(const boost::json::object& object,
                                   std::string_view key, std::size_t max_bytes)
{
    const auto* value = object.if_contains(key);
    const auto* found = value == nullptr ? nullptr : value->if_string();
    if (found == nullptr || found->size() > max_bytes)
        return malformed(key, "a string of at most " +
                                  std::to_string(max_bytes) + " bytes");
    return std::string(found->data(), found->size());
}

result<std::uint64_t> read_json_integer(const boost::json::object& object,
                                        std::string_view key,
                                        std::uint64_t maximum)
{
    const auto* value = object.if_contains(key);
    boost::json::error_code failure;
    std::uint64_t number = 0;
    if (value != nullptr)
        number = value->to_number<std::uint64_t>(failure);
    if (value == nullptr || failure || number > maximum)
        return malformed(key,
                         "a whole number up to " + std::to_string(maximum));
    return number;
}

result<std::chrono::milliseconds>
read_json_milliseconds(const boost::json::object& object, std::string_view key,
                       std::uint64_t maximum)
{
    BOOST_OUTCOME_TRY(const auto count,
                      read_json_integer(object, key, maximum));
    return std::chrono::milliseconds(count);
}

result<double> read_json_double(const boost::json::object& object,
                                std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::json::error_code failure;
    const double number =
        value == nullptr ? 0 : value->to_number<double>(failure);
    if (value == nullptr || failure)
        return malformed(key, "a number");
    return number;
}

result<bool> read_json_flag(const boost::json::object& object,
                            std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_bool())
        return malformed(key, "true or false");
    return value->get_bool();
}

result<std::uint64_t> read_json_hex(const boost::json::object& object,
                                    std::string_view key)
{
    BOOST_OUTCOME_TRY(const auto text, read_json_text(object, key, 16));
    return parse_hex(text, key);
}

result<std::uint64_t> parse_hex(std::string_view text, std::string_view what)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value, 16);
    if (code != std::errc{} || rest != end)
        return malformed(what, "up to 16 hexadecimal digits");
    return value;
}

std::string format_hex(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return {digits.data(), written.ptr};
}

}
