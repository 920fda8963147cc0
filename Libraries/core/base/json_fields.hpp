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

// Functions that read untrusted JSON. The error of a field is a
// malformed_request that names it. Unknown fields are ignored, so that programs
// of different versions can exchange messages.
namespace wisteriahatch
{

// Maximum value of an integer field.
inline constexpr std::uint64_t max_json_number =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

// Parses an object of at most `max_bytes` bytes, nested at most 8 levels deep.
// Errors: body_too_large, malformed_request.
result<boost::json::object> parse_json_object(std::string_view text,
                                              std::size_t max_bytes);

// Returns the value as an object.
result<const boost::json::object*>
read_json_object(const boost::json::value& value, std::string_view what);

// Returns an array field. Fails if it has more than `max_items` items.
result<const boost::json::array*>
read_json_array(const boost::json::object& object, std::string_view key,
                std::size_t max_items);

// Returns a string field. Fails if it is longer than `max_bytes` bytes.
result<std::string> read_json_text(const boost::json::object& object,
                                   std::string_view key, std::size_t max_bytes);

// Returns an integer field. Fails if it is negative or greater than `maximum`.
result<std::uint64_t> read_json_integer(const boost::json::object& object,
                                        std::string_view key,
                                        std::uint64_t maximum);

// Returns an integer field that is a number of milliseconds.
result<std::chrono::milliseconds>
read_json_milliseconds(const boost::json::object& object, std::string_view key,
                       std::uint64_t maximum);

// Returns a number field, which need not be an integer.
result<double> read_json_double(const boost::json::object& object,
                                std::string_view key);

// Returns a boolean field.
result<bool> read_json_flag(const boost::json::object& object,
                            std::string_view key);

// Returns a string field of up to 16 hexadecimal digits as a 64-bit value.
result<std::uint64_t> read_json_hex(const boost::json::object& object,
                                    std::string_view key);

// Parses up to 16 hexadecimal digits. An error names the value as `what`.
result<std::uint64_t> parse_hex(std::string_view text, std::string_view what);

// Formats a value as hexadecimal digits, without leading zeros.
std::string format_hex(std::uint64_t value);

}

#endif
