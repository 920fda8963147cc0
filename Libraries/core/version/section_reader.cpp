#include "core/version/section_reader.hpp"

#include <algorithm>
#include <boost/property_tree/ptree.hpp>
#include <charconv>

namespace wisteriahatch
{

namespace
{

constexpr std::size_t max_name_bytes = 64;

constexpr std::string_view invalid_name_message =
    "is not a valid name; write 1 to 64 ASCII letters, digits, spaces, '.', "
    "'_' or "
    "'-', starting with a letter or digit";

bool is_letter_or_digit(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= '0' && byte <= '9');
}

bool is_name_byte(char byte)
{
    return is_letter_or_digit(byte) || byte == ' ' || byte == '.' ||
           byte == '_' || byte == '-';
}

// Parses the whole text as a number.
template <class Number>
std::optional<Number> parse(std::string_view text)
{
    Number parsed{};
    const auto* const end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, parsed);
    if (fault != std::errc{} || stop != end)
        return std::nullopt;
    return parsed;
}

}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           is_letter_or_digit(text.front()) &&
           std::ranges::all_of(text, is_name_byte);
}

section_reader::section_reader(const document_section& header,
                               const boost::property_tree::ptree* key_values,
                               problem_list& collected_problems)
    : section(header)
    , tree(key_values)
    , problems(collected_problems)
{
}

std::uint64_t section_reader::number(std::string_view key, number_range range,
                                     std::optional<std::uint64_t> fallback)
{
    const auto text = this->value(key, fallback.has_value());
    if (!text)
        return fallback.value_or(range.min);
    const auto parsed = parse<std::uint64_t>(*text);
    if (parsed && *parsed >= range.min && *parsed <= range.max)
        return *parsed;
    this->add_problem(key, *text,
                      "must be a whole number from " +
                          std::to_string(range.min) + " to " +
                          std::to_string(range.max));
    return fallback.value_or(range.min);
}

double section_reader::percent(std::string_view key, double fallback)
{
    const auto text = this->value(key, true);
    if (!text)
        return fallback;
    const auto parsed = parse<double>(*text);
    // The comparison is also false for NaN.
    if (parsed && *parsed >= 0 && *parsed <= 100)
        return *parsed;
    this->add_problem(key, *text,
                      "must be a number from 0 to 100 without a "
                      "percent sign");
    return fallback;
}

bool section_reader::choice(std::string_view key, std::string_view first,
                            std::string_view second,
                            std::optional<bool> fallback)
{
    const auto text = this->value(key, fallback.has_value());
    if (!text)
        return fallback.value_or(false);
    if (*text == first)
        return true;
    if (*text != second)
        this->add_problem(key, *text,
                          "must be " + std::string(first) + " or " +
                              std::string(second));
    return false;
}

std::string section_reader::name(std::string_view key)
{
    const auto text = this->value(key, false);
    if (!text)
        return {};
    if (!is_name(*text))
        this->add_problem(key, *text, std::string(invalid_name_message));
    return *text;
}

std::vector<std::string> section_reader::names(std::string_view key)
{
    std::vector<std::string> found;
    std::set<std::string, std::less<>> seen;
    for (auto& item : this->items(key))
    {
        if (!is_name(item))
            this->add_problem(key, item, std::string(invalid_name_message));
        else if (!seen.insert(item).second)
            this->add_problem(key, item,
                              "is listed twice; remove one of the entries");
        else
            found.push_back(std::move(item));
    }
    return found;
}

std::vector<std::pair<std::string, std::string>>
section_reader::name_pairs(std::string_view key, std::string_view second_label)
{
    std::vector<std::pair<std::string, std::string>> found;
    for (const auto& item : this->items(key))
    {
        const std::string_view text = item;
        const auto at = text.find('@');
        if (at == text.npos)
        {
            this->add_problem(key, item,
                              "has no " + std::string(second_label) +
                                  "; write NAME@" + std::string(second_label));
            continue;
        }
        const auto first = trim(text.substr(0, at));
        const auto second = trim(text.substr(at + 1));
        if (!is_name(first) || !is_name(second))
            this->add_problem(key, item, std::string(invalid_name_message));
        else
            found.emplace_back(first, second);
    }
    return found;
}

bool section_reader::has(std::string_view key) const
{
    return this->section.key_lines.contains(key);
}

void section_reader::add_problem(std::string_view key, std::string_view value,
                                 std::string message)
{
    const auto found = this->section.key_lines.find(key);
    this->problems.add({
        .section = this->section.name,
        .key = std::string(key),
        .line = found == this->section.key_lines.end() ? this->section.line
                                                       : found->second,
        .value = std::string(value),
        .message = std::move(message),
    });
}

void section_reader::report_unknown_keys()
{
    std::string remedy = "the key is unknown; this section's keys are";
    for (const auto& key : this->known_keys)
        remedy += (key == *this->known_keys.begin() ? " " : ", ") + key;
    for (const auto& [key, line] : this->section.key_lines)
        if (!this->known_keys.contains(key))
            this->add_problem(key, {}, remedy);
}

std::optional<std::string> section_reader::value(std::string_view key,
                                                 bool is_optional)
{
    this->known_keys.emplace(key);
    if (this->tree)
    {
        const auto found = this->tree->find(std::string(key));
        if (found != this->tree->not_found())
        {
            const std::string_view text = found->second.data();
            return std::string(trim(text.substr(0, text.find(';'))));
        }
    }
    if (!is_optional)
        this->add_problem(key, {},
                          "the key is missing; add it to this section");
    return std::nullopt;
}

std::vector<std::string> section_reader::items(std::string_view key)
{
    const auto text = this->value(key, false);
    if (!text)
        return {};
    std::vector<std::string> found;
    std::string_view rest = *text;
    while (true)
    {
        const auto comma = rest.find(',');
        const auto item = trim(rest.substr(0, comma));
        if (item.empty())
            this->add_problem(key, *text,
                              "the list has an empty element; write at least "
                              "one, separated by single commas");
        else
            found.emplace_back(item);
        if (comma == rest.npos)
            return found;
        rest.remove_prefix(comma + 1);
    }
}

}
