#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_CHECK_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_CHECK_HPP

#include "core/version/document.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// One fault of a document.
struct document_problem
{
    std::string section;
    // Empty when the whole section is at fault.
    std::string key;
    // Line in the text, starting at 1; 0 when no single line is at fault.
    std::size_t line = 0;
    std::string value;
    // What is wrong and what to write instead.
    std::string message;
};

// A checked document, or every fault found in one run. `accepted` is null when
// `problems` is not empty.
struct document_check
{
    document_ptr accepted;
    std::vector<document_problem> problems;
};

// Largest document that is read, in bytes; the configuration service holds no
// larger value.
inline constexpr std::size_t max_document_bytes = std::size_t{1024} * 1024;

// Parses and checks a document. Unknown sections and keys are faults.
document_check check_document(std::string_view text);

// Returns the SHA-256 of the text as lower-case hexadecimal.
std::string document_digest(std::string_view text);

// Returns the problem as one line: section, key, line, value and remedy.
std::string to_string(const document_problem& problem);

}

#endif
