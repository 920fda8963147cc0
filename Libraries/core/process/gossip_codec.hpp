#ifndef WISTERIAHATCH_CORE_PROCESS_GOSSIP_CODEC_HPP
#define WISTERIAHATCH_CORE_PROCESS_GOSSIP_CODEC_HPP

#include "core/base/error.hpp"
#include "core/process/document_transfer.hpp"
#include "core/process/gossip_message.hpp"
#include "core/version/document_check.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Largest gossip.exchange message in bytes: max_message_records records and
// max_rate_limit_reports reports of 250 bytes each.
inline constexpr std::size_t max_gossip_bytes = 69632;

// Writes a message as JSON. 64-bit hashes and nonces are hexadecimal strings.
std::string encode_gossip(const gossip_message& message);

// Reads a message. Fails with malformed_request if the text is too large, is
// malformed or holds too many records.
result<gossip_message> decode_gossip(std::string_view text);

// The parameters of document.fetch.
std::string encode_document_request(const document_request& request);
result<document_request> decode_document_request(std::string_view text);

// The result of document.fetch.
std::string encode_document_transfer(const document_transfer& transfer);
result<document_transfer> decode_document_transfer(std::string_view text);

}

#endif
