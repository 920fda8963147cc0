#ifndef WISTERIAHATCH_TELEMETRY_INSTANCE_GAUGES_HPP
#define WISTERIAHATCH_TELEMETRY_INSTANCE_GAUGES_HPP

#include "core/connection/caller_memory.hpp"

namespace prometheus
{

class Gauge;
class Registry;

}

namespace wisteriahatch
{

// Gauges that every instance exports, whatever its role.
class instance_gauges
{
public:
    // Registers the gauges; the registry must outlive this object.
    explicit instance_gauges(prometheus::Registry& registry);

    // Sets the number of members seen alive, this instance included.
    void set_members(double alive);
    // Sets the number of requests read and not yet answered.
    void set_running_requests(double count);
    void set_ready(bool value);
    // Sets what is held for callers, and how many connections were refused
    // because of the descriptors.
    void set_callers(const caller_memory::counts& memory, double refused);

private:
    prometheus::Gauge* members;
    prometheus::Gauge* running;
    prometheus::Gauge* ready;
    prometheus::Gauge* caller_bytes;
    prometheus::Gauge* dropped_bodies;
    prometheus::Gauge* displaced_connections;
    prometheus::Gauge* refused_connections;
};

}

#endif
