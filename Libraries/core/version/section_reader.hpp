#ifndef WISTERIAHATCH_CORE_VERSION_SECTION_READER_HPP
#define WISTERIAHATCH_CORE_VERSION_SECTION_READER_HPP

#include "core/version/document_lines.hpp"

#include <boost/property_tree/ptree_fwd.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriahatch
{

// Inclusive bounds of a whole number.
struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

// Returns whether the text is a name: 1 to 64 ASCII letters, digits, spaces,
// dots, underscores and hyphens, starting with a letter or digit.
bool is_name(std::string_view text);

// Reads and validates the keys of one section. Adds invalid values and missing
// required keys to the problems and continues with a placeholder.
class section_reader
{
public:
    // `key_values` is null for a section without keys.
    section_reader(const document_section& header,
                   const boost::property_tree::ptree* key_values,
                   problem_list& collected_problems);

    // Reads a whole number. The key is required if there is no fallback.
    std::uint64_t number(std::string_view key, number_range range,
                         std::optional<std::uint64_t> fallback = {});
    // Reads an optional decimal percentage from 0 to 100.
    double percent(std::string_view key, double fallback);
    // Reads one of two words and returns whether it is the first. The key is
    // required if there is no fallback.
    bool choice(std::string_view key, std::string_view first,
                std::string_view second, std::optional<bool> fallback = {});
    // Reads a required name.
    std::string name(std::string_view key);
    // Reads a required list of names separated by commas.
    std::vector<std::string> names(std::string_view key);
    // Reads a required list of NAME@SECOND pairs of names, separated by commas.
    // `second_label` denotes the second name in messages.
    std::vector<std::pair<std::string, std::string>>
    name_pairs(std::string_view key, std::string_view second_label);

    // Returns whether the section contains the key.
    bool has(std::string_view key) const;
    // Adds a problem with a key, or with the whole section if the key is empty.
    void add_problem(std::string_view key, std::string_view value,
                     std::string message);
    // Adds a problem for each key of the section that was never read.
    void report_unknown_keys();

private:
    // Returns the value without a trailing comment, or nullopt if the key is
    // missing. Adds a problem for a missing key unless `is_optional`.
    std::optional<std::string> value(std::string_view key, bool is_optional);
    // Reads a required list separated by commas.
    std::vector<std::string> items(std::string_view key);

    const document_section& section;
    const boost::property_tree::ptree* tree;
    problem_list& problems;
    std::set<std::string, std::less<>> known_keys;
};

}

#endif
