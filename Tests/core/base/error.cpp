#include "core/base/error.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace wisteriahatch;

// Guards against two kinds with the same name, which callers could not
// distinguish.
TEST_CASE("error kinds have distinct names")
{
    std::set<std::string_view> names;
    const auto last = static_cast<int>(error_kind::invalid_settings);
    for (int kind = 0; kind <= last; ++kind)
        names.insert(to_string(static_cast<error_kind>(kind)));
    CHECK(names.size() == static_cast<std::size_t>(last) + 1);
}
