#include "core/version/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Returns the host in lower case, without a port.
std::string normalise_host(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(),
                           [](unsigned char letter)
                           { return std::tolower(letter); });
    return name;
}

}

std::string_view to_string(retry_policy policy)
{
    return policy == retry_policy::idempotent ? "idempotent" : "at_most_once";
}

route_table::route_table(options opts)
    : values(std::move(opts))
{
    for (std::size_t index = 0; index < this->values.routes.size(); ++index)
    {
        const auto& route = this->values.routes[index];
        this->prefixes_by_host[normalise_host(route.host)].emplace(route.prefix,
                                                                   index);
    }
}

std::uint64_t route_table::version() const
{
    return this->values.version;
}

const std::vector<route_spec>& route_table::routes() const
{
    return this->values.routes;
}

const caller_limits& route_table::callers() const
{
    return this->values.callers;
}

const std::map<std::string, service_limits, std::less<>>&
route_table::services() const
{
    return this->values.services;
}

const service_limits* route_table::find_service(std::string_view name) const
{
    const auto found = this->values.services.find(name);
    return found == this->values.services.end() ? nullptr : &found->second;
}

const route_spec* route_table::find(std::string_view host,
                                    std::string_view target) const
{
    const auto found = this->prefixes_by_host.find(normalise_host(host));
    if (found == this->prefixes_by_host.end())
        return nullptr;
    auto path = target.substr(0, target.find_first_of("?#"));
    // Route prefixes end with a slash, so only such parts of the path can
    // match.
    while (!path.empty())
    {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto match = found->second.find(path.substr(0, slash + 1));
        if (match != found->second.end())
            return &this->values.routes[match->second];
        path = path.substr(0, slash);
    }
    return nullptr;
}

}
