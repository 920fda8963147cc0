#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_LINES_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_LINES_HPP

#include "core/version/problem_list.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// A section of a document and the lines of its keys.
struct document_section
{
    // Text between the brackets, without surrounding spaces.
    std::string name;
    // Line of the header, starting at 1.
    std::size_t line = 0;
    std::map<std::string, std::size_t, std::less<>> key_lines;
};

// Line numbers of the sections and keys in a document. Boost.PropertyTree keeps
// none and stops at the first malformed line.
struct document_lines
{
    // In the order of the text, including sections without keys.
    std::vector<document_section> sections;
    // The text with comment lines and malformed lines left empty, so that the
    // parser reads the remaining lines under their original numbers.
    std::string well_formed_text;
};

// Indexes the lines of a text, which may contain arbitrary bytes. Adds
// malformed lines, duplicate sections and duplicate keys to the problems.
document_lines index_lines(std::string_view text, problem_list& problems);

// Returns the text without white space at both ends.
std::string_view trim(std::string_view text);

}

#endif
