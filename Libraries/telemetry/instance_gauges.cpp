#include "telemetry/instance_gauges.hpp"

#include "telemetry/metric_families.hpp"

namespace wisteriahatch
{

instance_gauges::instance_gauges(prometheus::Registry& registry)
    : members(&make_gauge(registry, "wisteriahatch_members_alive",
                          "Members seen alive, this instance included."))
    , running(&make_gauge(registry, "wisteriahatch_running_requests",
                          "Requests read and not yet answered."))
    , ready(&make_gauge(registry, "wisteriahatch_ready",
                        "1 when the instance is ready."))
{
}

void instance_gauges::set_members(double alive)
{
    this->members->Set(alive);
}

void instance_gauges::set_running_requests(double count)
{
    this->running->Set(count);
}

void instance_gauges::set_ready(bool value)
{
    this->ready->Set(value ? 1 : 0);
}

}
