#ifndef WISTERIAHATCH_NET_HTTP_TARGET_HPP
#define WISTERIAHATCH_NET_HTTP_TARGET_HPP

#include <map>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// A request target in parts, decoded: "/document?after=3" has the path
// "/document" and the parameter after = 3.
struct http_target
{
    std::string path;
    std::map<std::string, std::string, std::less<>> parameters;

    // Value of a parameter as a whole number; `fallback` when it is missing or
    // no number.
    unsigned long number(std::string_view name, unsigned long fallback) const;
};

// Splits a request target. A target that is not valid has an empty path.
http_target parse_target(std::string_view target);

}

#endif
