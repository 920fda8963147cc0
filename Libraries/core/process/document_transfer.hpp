#ifndef WISTERIAHATCH_CORE_PROCESS_DOCUMENT_TRANSFER_HPP
#define WISTERIAHATCH_CORE_PROCESS_DOCUMENT_TRANSFER_HPP

#include "core/version/document.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Parameters of document.fetch: digests of the documents that the requester
// holds, on which a delta may be based.
struct document_request
{
    std::vector<std::string> held_digests;

    friend bool operator==(const document_request&,
                           const document_request&) = default;
};

// How a transfer carries the document.
enum class transfer_form : std::uint8_t
{
    // The sender has no document.
    none,
    // The receiver already holds the document.
    held,
    // `body` is the whole text.
    text,
    // `body` is a delta against the document `base`.
    delta,
};

// Result of document.fetch.
struct document_transfer
{
    transfer_form form = transfer_form::none;
    // Key of the sender's document.
    document_key key;
    // Digest of the document that a delta is based on.
    std::string base;
    std::string body;

    friend bool operator==(const document_transfer&,
                           const document_transfer&) = default;
};

}

#endif
