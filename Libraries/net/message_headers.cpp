#include "net/message_headers.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace wisteriahatch
{

namespace
{

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 10> not_forwarded_headers{
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
};

// True when a Connection field lists the name.
bool is_named_by_connection(const message_headers& headers,
                            std::string_view name)
{
    return std::ranges::any_of(
        headers,
        [name](const message_header& header)
        {
            return is_same_header(header.name, "connection") &&
                   http::token_list(header.value).exists(name);
        });
}

}

bool is_same_header(std::string_view left, std::string_view right)
{
    // Field names are ASCII (RFC 9110, section 5.1), so no locale is needed.
    return boost::beast::iequals(left, right);
}

std::optional<std::string_view> find_header(const message_headers& headers,
                                            std::string_view name)
{
    const auto found =
        std::ranges::find_if(headers, [name](const message_header& header)
                             { return is_same_header(header.name, name); });
    if (found == headers.end())
        return std::nullopt;
    return found->value;
}

message_headers end_to_end_headers(const message_headers& headers)
{
    message_headers kept;
    kept.reserve(headers.size());
    for (const auto& header : headers)
    {
        const bool is_not_forwarded = std::ranges::any_of(
            not_forwarded_headers, [&header](std::string_view name)
            { return is_same_header(header.name, name); });
        if (!is_not_forwarded && !is_named_by_connection(headers, header.name))
            kept.push_back(header);
    }
    return kept;
}

}
