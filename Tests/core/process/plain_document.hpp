#ifndef WISTERIAHATCH_TESTS_CORE_PROCESS_PLAIN_DOCUMENT_HPP
#define WISTERIAHATCH_TESTS_CORE_PROCESS_PLAIN_DOCUMENT_HPP

#include "core/version/document_check.hpp"

#include <memory>
#include <string>
#include <string_view>

// Documents that consist of a serial, an environment and an opaque body, for
// tests of code that transfers documents without parsing them.
namespace wisteriahatch::test_support
{

// Writes "SERIAL ENVIRONMENT" and a section with the body.
inline std::string plain_text(std::uint64_t serial, std::string_view body,
                              std::string_view environment = "test")
{
    return std::to_string(serial) + " " + std::string(environment) +
           "\n[body]\n" + std::string(body) + "\n";
}

// Replaces check_document. Texts without a serial at the start are faulty.
inline document_check check_plain(std::string_view text)
{
    const auto space = text.find(' ');
    const auto line_end = text.find('\n');
    if (space == text.npos || line_end == text.npos || space > line_end)
        return {.problems = {{.message = "no serial"}}};
    auto checked = std::make_shared<document>();
    checked->key = {std::stoull(std::string(text.substr(0, space))),
                    document_digest(text)};
    checked->environment = text.substr(space + 1, line_end - space - 1);
    checked->text = text;
    return {.accepted = std::move(checked)};
}

}

#endif
