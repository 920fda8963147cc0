#include "core/version/document_lines.hpp"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <optional>
#include <set>

namespace wisteriahatch
{

namespace
{

// The bytes that Boost.PropertyTree trims in the classic locale.
constexpr std::string_view white_space = " \t\n\v\f\r";

bool is_control(char byte)
{
    const auto value = static_cast<unsigned char>(byte);
    return (value < 0x20 && byte != '\t') || value == 0x7f;
}

bool is_utf8(std::string_view text)
{
    using traits = boost::locale::utf::utf_traits<char>;
    const auto* at = text.begin();
    while (at != text.end())
        if (!boost::locale::utf::is_valid_codepoint(
                traits::decode(at, text.end())))
            return false;
    return true;
}

// Reads a text line by line and builds the index.
class line_indexer
{
public:
    explicit line_indexer(problem_list& collected_problems)
        : problems(collected_problems)
    {
    }

    document_lines run(std::string_view text)
    {
        this->output.well_formed_text.reserve(text.size() + 1);
        while (!text.empty())
        {
            const auto end = text.find('\n');
            ++this->line_number;
            auto raw = text.substr(0, end);
            if (raw.ends_with('\r'))
                raw.remove_suffix(1);
            const auto line = trim(raw);
            if (this->is_text(raw) && this->is_kept(line))
                this->output.well_formed_text += line;
            this->output.well_formed_text += '\n';
            text.remove_prefix(end == text.npos ? text.size() : end + 1);
        }
        return std::move(this->output);
    }

private:
    // Instances exchange the text, comments included, as a JSON string.
    bool is_text(std::string_view raw)
    {
        if (std::ranges::any_of(raw, is_control))
            return this->reject({}, raw,
                                "the line contains a control character; remove "
                                "it");
        if (!is_utf8(raw))
            return this->reject({}, raw,
                                "the line is not valid UTF-8; save the file "
                                "as UTF-8");
        return true;
    }

    bool is_kept(std::string_view line)
    {
        if (line.empty() || line.front() == ';' || line.front() == '#')
            return false;
        return line.front() == '[' ? this->is_header_kept(line)
                                   : this->is_key_kept(line);
    }

    bool is_header_kept(std::string_view line)
    {
        // Keys below a rejected header must not be assigned to the section
        // before it.
        this->is_skipping_keys = true;
        this->current_section.clear();
        const auto end = line.find(']');
        if (end == line.npos)
            return this->reject({}, line,
                                "the section header lacks its closing "
                                "bracket; write [NAME]");
        const auto rest = trim(line.substr(end + 1));
        if (!rest.empty() && rest.front() != ';' && rest.front() != '#')
            return this->reject({}, line,
                                "text follows the section header; put it on "
                                "a line of its own");
        this->current_section = trim(line.substr(1, end - 1));
        if (!this->section_names.insert(this->current_section).second)
            return this->reject({}, {},
                                "the section already exists; merge both or "
                                "rename one");
        this->is_skipping_keys = false;
        this->output.sections.push_back(
            {.name = this->current_section, .line = this->line_number});
        return true;
    }

    bool is_key_kept(std::string_view line)
    {
        const auto equals = line.find('=');
        const auto key = trim(line.substr(0, equals));
        if (equals == line.npos)
            return this->reject({}, line,
                                "the line has no '='; write KEY = VALUE, or "
                                "start a comment with ';'");
        const auto value = trim(line.substr(equals + 1));
        if (key.empty())
            return this->reject({}, value,
                                "there is no key before '='; write "
                                "KEY = VALUE");
        if (this->is_skipping_keys)
            return false;
        if (this->output.sections.empty())
            return this->reject(key, value,
                                "the key precedes the first section; "
                                "move it below a [SECTION] header");
        auto& lines = this->output.sections.back().key_lines;
        if (const auto first = lines.find(key); first != lines.end())
            return this->reject(key, value,
                                "the key already exists on line " +
                                    std::to_string(first->second) +
                                    "; remove one of them");
        lines.emplace(key, this->line_number);
        return true;
    }

    // Adds a problem with the current line and returns false.
    bool reject(std::string_view key, std::string_view value,
                std::string message)
    {
        this->problems.add({
            .section = this->current_section,
            .key = std::string(key),
            .line = this->line_number,
            .value = std::string(value),
            .message = std::move(message),
        });
        return false;
    }

    problem_list& problems;
    document_lines output;
    std::set<std::string, std::less<>> section_names;
    std::string current_section;
    std::size_t line_number = 0;
    // True below a rejected header, whose keys belong to no section.
    bool is_skipping_keys = false;
};

}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(white_space);
    if (first == text.npos)
        return {};
    const auto last = text.find_last_not_of(white_space);
    return text.substr(first, last - first + 1);
}

document_lines index_lines(std::string_view text, problem_list& problems)
{
    return line_indexer(problems).run(text);
}

}
