#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_DELTA_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_DELTA_HPP

#include "core/base/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriahatch
{

// Chunks of the base document that the new one repeats.
struct chunk_range
{
    // Position of the first chunk in the base, starting at 0.
    std::size_t first = 0;
    std::size_t count = 0;

    friend bool operator==(const chunk_range&, const chunk_range&) = default;
};

// What turns one document's text into another's.
struct document_delta
{
    // SHA-256 of the base and of the result, lower-case hexadecimal.
    std::string base_digest;
    std::string target_digest;
    // Copied chunks and literal text, in the order of the result.
    std::vector<std::variant<chunk_range, std::string>> parts;

    friend bool operator==(const document_delta&,
                           const document_delta&) = default;
};

// Splits a text before each line that starts with '['. The chunks joined are
// the text.
std::vector<std::string_view> split_chunks(std::string_view text);

// Computes the delta from a base to a target; both may hold any bytes.
document_delta compute_delta(std::string_view base, std::string_view target);

// Returns the delta as JSON:
// {"base":DIGEST,"target":DIGEST,"parts":[[FIRST,COUNT],"literal text"]}.
std::string encode_delta(const document_delta& delta);

// Decodes JSON from another instance. malformed_request names the first fault;
// body_too_large if it is longer than any delta of two documents can be.
result<document_delta> decode_delta(std::string_view text);

// Applies a delta. Errors: stale_document if the base is another text,
// invalid_document if the result is larger than max_document_bytes, if a
// range lies outside the base or if the result's digest is not the target's.
result<std::string> apply_delta(std::string_view base,
                                const document_delta& delta);

}

#endif
