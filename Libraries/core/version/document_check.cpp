#include "core/version/document_check.hpp"

#include "core/version/document_builder.hpp"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

namespace wisteriahatch
{

document_check check_document(std::string_view text)
{
    if (text.size() > max_document_bytes)
        return {
            .problems = {{
                .message = "the document has " + std::to_string(text.size()) +
                           " bytes; the configuration service stores at "
                           "most " +
                           std::to_string(max_document_bytes) +
                           "; remove index versions that are no longer "
                           "served",
            }}};
    return document_builder(text).run();
}

std::string document_digest(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned length = 0;
    // NOTE: EVP_Digest fails only if OpenSSL lacks SHA-256; the digest is then
    //       empty and no document matches it.
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(),
               nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hexadecimal;
    for (unsigned at = 0; at < length; ++at)
    {
        hexadecimal += digits[bytes[at] >> 4U];
        hexadecimal += digits[bytes[at] & 0xfU];
    }
    return hexadecimal;
}

std::string to_string(const document_problem& problem)
{
    std::string line;
    if (problem.line > 0)
        line += "line " + std::to_string(problem.line) + ": ";
    if (!problem.section.empty())
        line += "[" + problem.section + "] ";
    if (!problem.key.empty())
        line += problem.key + ": ";
    if (!problem.value.empty())
        line += "\"" + problem.value + "\": ";
    line += problem.message;
    // The text comes from the document, whose control characters a terminal
    // must not interpret.
    std::ranges::replace_if(
        line, [](char byte) { return byte < 0x20 || byte == 0x7f; }, '?');
    return line;
}

}
