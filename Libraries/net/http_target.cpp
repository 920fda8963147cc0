#include "net/http_target.hpp"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>

namespace wisteriahatch
{

unsigned long http_target::number(std::string_view name,
                                  unsigned long fallback) const
{
    const auto found = this->parameters.find(name);
    if (found == this->parameters.end())
        return fallback;
    const auto& text = found->second;
    const auto* end = text.data() + text.size();
    unsigned long value = 0;
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? value : fallback;
}

http_target parse_target(std::string_view target)
{
    http_target parts;
    const auto parsed = boost::urls::parse_origin_form(
        boost::urls::string_view(target.data(), target.size()));
    if (!parsed)
        return parts;
    parts.path = parsed->path();
    for (const auto& parameter : parsed->params())
        parts.parameters.insert_or_assign(std::string(parameter.key),
                                          std::string(parameter.value));
    return parts;
}

}
