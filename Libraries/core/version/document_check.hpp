#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_CHECK_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_CHECK_HPP

#include "core/version/document.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// A problem found in a document.
struct document_problem
{
    std::string section;
    // Empty if the problem concerns no single key.
    std::string key;
    // Line number, starting at 1; 0 if the problem concerns no single line.
    std::size_t line = 0;
    std::string value;
    // What is wrong and what to write instead.
    std::string message;
};

// Either the validated document or all problems found: `accepted` is null if
// `problems` is not empty.
struct document_check
{
    document_ptr accepted;
    std::vector<document_problem> problems;
};

// Maximum size of a document in bytes: the configuration service stores no
// larger value.
inline constexpr std::size_t max_document_bytes = std::size_t{1024} * 1024;

// Parses and validates a document. Unknown sections and keys are problems, too.
document_check check_document(std::string_view text);

// Returns the SHA-256 of the text as lower-case hexadecimal.
std::string document_digest(std::string_view text);

// Formats the problem as one line: line number, section, key, value and
// message.
std::string to_string(const document_problem& problem);

}

#endif
