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

// A range of chunks that the target copies from the base.
struct chunk_range
{
    // Index of the first chunk in the base.
    std::size_t first = 0;
    std::size_t count = 0;

    friend bool operator==(const chunk_range&, const chunk_range&) = default;
};

// The copies and insertions that build a target document from a base document.
struct document_delta
{
    // SHA-256 of the base and of the target, lower-case hexadecimal.
    std::string base_digest;
    std::string target_digest;
    // Copied chunks and literal text, in the order of the target.
    std::vector<std::variant<chunk_range, std::string>> parts;

    friend bool operator==(const document_delta&,
                           const document_delta&) = default;
};

// Splits a text before each line that starts with '['. The concatenated chunks
// equal the text.
std::vector<std::string_view> split_chunks(std::string_view text);

// Computes the delta from a base to a target; both may contain arbitrary bytes.
document_delta compute_delta(std::string_view base, std::string_view target);

// Returns the delta as JSON:
// {"base":DIGEST,"target":DIGEST,"parts":[[FIRST,COUNT],"literal text"]}.
std::string encode_delta(const document_delta& delta);

// Decodes a delta that another instance sent as JSON. Errors:
// malformed_request, which names the first problem, and body_too_large if the
// text is longer than any delta of two documents.
result<document_delta> decode_delta(std::string_view text);

// Applies a delta and returns the target. Errors: stale_document if the delta
// has another base; invalid_document if a range lies outside the base, if the
// target exceeds max_document_bytes or if its digest differs from the delta's.
result<std::string> apply_delta(std::string_view base,
                                const document_delta& delta);

}

#endif
