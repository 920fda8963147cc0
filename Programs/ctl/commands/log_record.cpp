#include "ctl/commands/log_record.hpp"

#include <algorithm>

namespace wisteriahatch::ctl
{

namespace
{

constexpr std::string_view first_field = "time=";

// Removes the value at the start of the text and returns it unescaped. A value
// ends at the next space, or is quoted, with a backslash before each quote and
// backslash.
std::string take_value(std::string_view& text)
{
    const bool is_quoted = text.starts_with('"');
    std::string value;
    std::size_t index = is_quoted ? 1 : 0;
    for (; index < text.size(); ++index)
    {
        if (text[index] == (is_quoted ? '"' : ' '))
            break;
        const bool is_escape =
            is_quoted && text[index] == '\\' && index + 1 < text.size();
        if (is_escape)
            ++index;
        value += text[index];
    }
    text.remove_prefix(std::min(text.size(), index + 1));
    return value;
}

std::string_view last_word(std::string_view text)
{
    const auto end = text.find_last_not_of(" \t");
    if (end == std::string_view::npos)
        return {};
    text = text.substr(0, end + 1);
    const auto before = text.find_last_of(" \t");
    return before == std::string_view::npos ? text : text.substr(before + 1);
}

}

std::string_view log_record::field(std::string_view name) const
{
    for (const auto& [key, value] : this->fields)
        if (key == name)
            return value;
    return {};
}

std::optional<log_record> parse_log_line(std::string_view line,
                                         std::string_view source)
{
    const auto start = line.find(first_field);
    if (start == std::string_view::npos)
        return std::nullopt;
    const auto host = last_word(line.substr(0, start));
    line.remove_prefix(start);
    log_record record{.source = std::string(host.empty() ? source : host),
                      .text = std::string(line),
                      .fields = {}};
    while (!line.empty())
    {
        line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
        const auto equals = line.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string name(line.substr(0, equals));
        line.remove_prefix(equals + 1);
        record.fields.emplace_back(std::move(name), take_value(line));
    }
    if (record.field("time").empty() || record.field("event").empty())
        return std::nullopt;
    return record;
}

}
