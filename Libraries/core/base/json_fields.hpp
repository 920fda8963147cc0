#ifndef WISTERIAHATCH_CORE_BASE_JSON_FIELDS_HPP
#define WISTERIAHATCH_CORE_BASE_JSON_FIELDS_HPP

#include "core/base/error.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

// Reads untrusted JSON. Every failure is a malformed_request that names the
// field. Unknown fields are ignored, so that versions of the program can
// differ by a field.
namespace wisteriahatch
{

// The greatest whole number that a field may hold.
inline constexpr std::uint64_t max_json_number =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

// Parses an object of at most `max_bytes`, nested at most 8 deep.
result<boost::json::object> parse_json_object(std::string_view text,
                                              std::size_t max_bytes);

// Returns the value as an object.
result<const boost::json::object*>
read_json_object(const boost::json::value& value, std::string_view what);

// Returns the array field; fails when it has more than `max_items`.
result<const boost::json::array*>
read_json_array(const boost::json::object& object, std::string_view key,
                std::size_t max_items);

// Returns the string field; fails when it is longer than `max_bytes`.
result<std::string> read_json_text(const boost::json::object& object,
                                   std::string_view key, std::size_t max_bytes);

// Returns the whole-number field; fails when it is negative or greater than
// `maximum`.
result<std::uint64_t> read_json_integer(const boost::json::object& object,
                                        std::string_view key,
                                        std::uint64_t maximum);

// The same, as milliseconds.
result<std::chrono::milliseconds>
read_json_milliseconds(const boost::json::object& object, std::string_view key,
                       std::uint64_t maximum);

// Returns the number field, which may have a fraction.
result<double> read_json_double(const boost::json::object& object,
                                std::string_view key);

// Returns the field that is true or false.
result<bool> read_json_flag(const boost::json::object& object,
                            std::string_view key);

// Returns the field that holds 64 bits as a hexadecimal string.
result<std::uint64_t> read_json_hex(const boost::json::object& object,
                                    std::string_view key);

// Parses 64 bits written as up to 16 hexadecimal digits.
result<std::uint64_t> parse_hex(std::string_view text, std::string_view what);

// Writes 64 bits as hexadecimal digits.
std::string format_hex(std::uint64_t value);

}

#endif
