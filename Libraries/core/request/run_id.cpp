#include "core/request/run_id.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace wisteriahatch
{

namespace
{

// Fits a bracketed IPv6 address with a zone and a port.
constexpr std::size_t max_instance_bytes = 64;

// Parses a number. The whole text must be digits of the base.
std::optional<std::uint64_t> parse_number(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value, base);
    if (code != std::errc{} || rest != end)
        return std::nullopt;
    return value;
}

// Allows only characters that need no escaping in JSON or in a log line.
bool is_address_character(char character)
{
    return (character >= '0' && character <= '9') ||
           (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') || character == '.' ||
           character == ':' || character == '[' || character == ']' ||
           character == '-' || character == '%';
}

}

std::string to_string(const run_id& id)
{
    std::array<char, 16> digits{};
    const auto hex = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   id.owner.value, 16);
    return id.instance + "/" + std::string(digits.data(), hex.ptr) + "/" +
           std::to_string(id.sequence);
}

result<run_id> parse_run_id(std::string_view text)
{
    const auto invalid = [](std::string_view reason)
    {
        return error{error_kind::invalid_run_id,
                     std::string(reason) +
                         "; send a run id from POST /v1/run-ids, in the form "
                         "IP:port/incarnation in hex/sequence"};
    };
    const auto first = text.find('/');
    const auto second =
        first == text.npos ? text.npos : text.find('/', first + 1);
    if (second == text.npos)
        return invalid("the run id does not have three parts");
    const auto instance = text.substr(0, first);
    if (instance.empty() || instance.size() > max_instance_bytes ||
        !std::ranges::all_of(instance, is_address_character))
        return invalid("the run id names no instance address");
    const auto owner =
        parse_number(text.substr(first + 1, second - first - 1), 16);
    if (!owner)
        return invalid("the incarnation is not a hexadecimal number");
    const auto sequence = parse_number(text.substr(second + 1), 10);
    if (!sequence || *sequence == 0)
        return invalid("the sequence is not a positive number");
    return run_id{.instance = std::string(instance),
                  .owner = {*owner},
                  .sequence = *sequence};
}

}
