#ifndef WISTERIAHATCH_NET_MESSAGE_HEADERS_HPP
#define WISTERIAHATCH_NET_MESSAGE_HEADERS_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// One header field of a message, as sent.
struct message_header
{
    std::string name;
    std::string value;
};

// Header fields in the order of the message; names may repeat.
using message_headers = std::vector<message_header>;

// Compares header names, ignoring case.
bool is_same_header(std::string_view left, std::string_view right);

// Returns the value of the first field of this name.
std::optional<std::string_view> find_header(const message_headers& headers,
                                            std::string_view name);

// Returns the fields that a proxy forwards: all except those that apply to one
// connection (RFC 9110, section 7.6.1, including those that Connection lists),
// the body's framing, and Expect, which the proxy itself has answered.
message_headers end_to_end_headers(const message_headers& headers);

}

#endif
