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
    , caller_bytes(&make_gauge(registry, "wisteriahatch_caller_bytes",
                               "Bytes held for callers."))
    , dropped_bodies(&make_gauge(
          registry, "wisteriahatch_caller_bodies_dropped",
          "Unfinished requests and unread replies dropped for memory."))
    , displaced_connections(&make_gauge(
          registry, "wisteriahatch_caller_connections_displaced",
          "Connections without a complete request closed for new ones."))
    , refused_connections(
          &make_gauge(registry, "wisteriahatch_caller_connections_refused",
                      "Connections closed because no descriptor was free."))
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

void instance_gauges::set_callers(const caller_memory::counts& memory,
                                  double refused)
{
    this->caller_bytes->Set(static_cast<double>(memory.held_bytes));
    this->dropped_bodies->Set(static_cast<double>(memory.dropped));
    this->displaced_connections->Set(static_cast<double>(memory.displaced));
    this->refused_connections->Set(refused);
}

}
