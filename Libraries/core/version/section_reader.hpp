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

// Bounds of a whole number, both included.
struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

// Returns whether the text is a name: 1 to 64 ASCII letters, digits, spaces,
// dots, underscores and hyphens, starting with a letter or digit.
bool is_name(std::string_view text);

// Reads the keys of one section with type and range checks. A fault is added
// to the problems and the default is returned, so that reading goes on.
class section_reader
{
public:
    // `values` is null for a section without keys.
    section_reader(const document_section& header,
                   const boost::property_tree::ptree* values,
                   problem_list& faults);

    // Reads a whole number; without a default the key is required.
    std::uint64_t number(std::string_view key, number_range range,
                         std::optional<std::uint64_t> fallback = {});
    // Reads a decimal number of percent from 0 to 100.
    double percent(std::string_view key, double fallback);
    // Reads one of two words; returns whether it is the first. Without a
    // default the key is required.
    bool choice(std::string_view key, std::string_view first,
                std::string_view second, std::optional<bool> fallback = {});
    // Reads a required name.
    std::string name(std::string_view key);
    // Reads a required list of names separated by commas.
    std::vector<std::string> names(std::string_view key);
    // Reads a required list of NAME@PLACE pairs separated by commas.
    std::vector<std::pair<std::string, std::string>>
    name_pairs(std::string_view key, std::string_view place);

    // Returns whether the section holds the key.
    bool has(std::string_view key) const;
    // Adds a fault of a key of this section; of the whole section if the key
    // is empty.
    void add_problem(std::string_view key, std::string_view value,
                     std::string message);
    // Adds a fault for each key that was never read.
    void report_unknown_keys();

private:
    // Returns the value without its trailing comment; nothing if the key is
    // absent. Reports an absent key unless `is_optional`.
    std::optional<std::string> value(std::string_view key, bool is_optional);
    std::vector<std::string> items(std::string_view key);

    const document_section& section;
    const boost::property_tree::ptree* tree;
    problem_list& problems;
    std::set<std::string, std::less<>> known;
};

}

#endif
