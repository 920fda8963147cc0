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

    // Returns the value of a parameter as a whole number, or `fallback` when
    // it is missing or not a number.
    unsigned long number(std::string_view name, unsigned long fallback) const;
};

// Splits a request target. The path of an invalid target is empty.
http_target parse_target(std::string_view target);

}

#endif
