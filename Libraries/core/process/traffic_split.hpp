#ifndef WISTERIAHATCH_CORE_PROCESS_TRAFFIC_SPLIT_HPP
#define WISTERIAHATCH_CORE_PROCESS_TRAFFIC_SPLIT_HPP

#include "core/version/route_table.hpp"

#include <map>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Deals the requests of a route to its services in proportion to their weights,
// by smooth weighted round robin: short runs of requests keep the proportion
// too. One thread uses it.
class traffic_split
{
public:
    // Returns the service of the next request of this route; the route must
    // name at least one. A service whose weight is not positive is chosen only
    // when no weight is.
    const std::string& choose(const route_spec& route);
    // Forgets the routes that the table no longer holds.
    void retain(const route_table& table);

private:
    // Credit of each service of a route, by route name.
    std::map<std::string, std::map<std::string, double>> credits;
};

}

#endif
