#ifndef WISTERIAHATCH_CORE_PROCESS_TRAFFIC_SPLIT_HPP
#define WISTERIAHATCH_CORE_PROCESS_TRAFFIC_SPLIT_HPP

#include "core/version/route_table.hpp"

#include <map>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Distributes the requests of a route over its services in proportion to their
// weights. Smooth weighted round robin keeps the proportion in short runs of
// requests, too. Not thread-safe.
class traffic_split
{
public:
    // Returns the service for the next request of this route, which must name
    // at least one. A service without a positive weight is chosen only when no
    // service has one.
    const std::string& choose(const route_spec& route);
    // Drops the state of routes that the table no longer contains.
    void retain(const route_table& table);

private:
    // Credit of each service of a route, by route name.
    std::map<std::string, std::map<std::string, double>> credits;
};

}

#endif
