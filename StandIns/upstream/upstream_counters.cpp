#include "StandIns/upstream/upstream_counters.hpp"

namespace wisteriahatch
{

boost::json::object upstream_counters::to_json() const
{
    boost::json::object json{
        {"received", this->received},
        {"in_flight_max", this->in_flight_max},
        {"beyond_slots_max", this->beyond_slots_max},
        {"searches_started", this->searches_started},
        {"searches_finished", this->searches_finished},
        {"runs_started", this->runs_started},
        {"runs_finished", this->runs_finished},
        {"cancelled", this->cancelled},
        {"shed", this->shed},
        {"expired", this->expired},
        {"versions_refused", this->versions_refused},
        {"work_after_drain", this->work_after_drain},
        {"malformed", this->malformed},
    };
    auto& requests = json["runs"].emplace_object();
    for (const auto& [id, count] : this->runs)
        requests[id] = count;
    auto& ids = json["run_ids"].emplace_object();
    for (const auto& [id, count] : this->run_ids)
        ids[id] = count;
    return json;
}

}
