#ifndef WISTERIAHATCH_TELEMETRY_INSTANCE_GAUGES_HPP
#define WISTERIAHATCH_TELEMETRY_INSTANCE_GAUGES_HPP

namespace prometheus
{

class Gauge;
class Registry;

}

namespace wisteriahatch
{

// Current values that every instance exports, whatever it serves.
class instance_gauges
{
public:
    // Registers the gauges; the registry must outlive them.
    explicit instance_gauges(prometheus::Registry& registry);

    // Members seen alive, this instance included.
    void set_members(double alive);
    // Requests read and not yet answered.
    void set_running_requests(double count);
    void set_ready(bool value);

private:
    prometheus::Gauge* members;
    prometheus::Gauge* running;
    prometheus::Gauge* ready;
};

}

#endif
