#ifndef WISTERIAHATCH_LOAD_LOAD_REPORT_HPP
#define WISTERIAHATCH_LOAD_LOAD_REPORT_HPP

#include "load_driver.hpp"
#include "upstream_counters.hpp"

#include <boost/json/object.hpp>
#include <optional>
#include <string>

namespace wisteriahatch
{

// Work that upstreams started during a measurement; empty if
// --upstream_counters was not given.
using upstream_work = std::optional<upstream_counters>;

// Returns all figures of a measurement.
boost::json::object make_report(const load_options& options,
                                const load_driver& driver,
                                const upstream_work& work);

// Formats the report of make_report as readable text.
std::string format_report(const boost::json::object& report);

}

#endif
