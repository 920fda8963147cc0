#include "core/version/document.hpp"

#include <algorithm>

namespace wisteriahatch
{

const index_spec* service_spec::find_index(index_version version) const
{
    const auto found =
        std::ranges::find(this->indexes, version, &index_spec::version);
    return found == this->indexes.end() ? nullptr : &*found;
}

const service_spec* document::find_service(std::string_view name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

const class_spec* document::find_class(std::string_view name) const
{
    const auto found = this->classes.find(name);
    return found == this->classes.end() ? nullptr : &found->second;
}

}
