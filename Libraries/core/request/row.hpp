#ifndef WISTERIAHATCH_CORE_REQUEST_ROW_HPP
#define WISTERIAHATCH_CORE_REQUEST_ROW_HPP

#include <compare>
#include <string>

namespace wisteriahatch
{

// One row of a query's answer.
struct row
{
    std::string key;
    std::string value;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
    friend auto operator<=>(const row&, const row&) = default;
};

}

#endif
