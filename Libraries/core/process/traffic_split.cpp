#include "core/process/traffic_split.hpp"

#include <algorithm>
#include <set>

namespace wisteriahatch
{

const std::string& traffic_split::choose(const route_spec& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& credit = this->credits[route.name];
    const weighted_service* best = &route.services.front();
    double total = 0;
    for (const auto& each : route.services)
    {
        const double weight = std::max(0.0, each.weight);
        total += weight;
        credit[each.service] += weight;
        if (credit[each.service] > credit[best->service])
            best = &each;
    }
    credit[best->service] -= total;
    return best->service;
}

void traffic_split::retain(const route_table& table)
{
    std::set<std::string> names;
    for (const auto& route : table.routes())
        names.insert(route.name);
    std::erase_if(this->credits, [&names](const auto& entry)
                  { return !names.contains(entry.first); });
}

}
