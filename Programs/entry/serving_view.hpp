#ifndef WISTERIAHATCH_ENTRY_SERVING_VIEW_HPP
#define WISTERIAHATCH_ENTRY_SERVING_VIEW_HPP

#include "core/base/error.hpp"
#include "core/connection/upstream_state.hpp"
#include "core/process/published.hpp"
#include "core/process/service_state.hpp"
#include "core/version/document.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wisteriahatch
{

// Configuration that requests are served with: the document in force, the
// replicas whose addresses are known, and the state shared by the queries of
// each service. Replaced as a whole when the document or the directory changes.
struct serving_view
{
    document_ptr configuration;
    upstream_table_ptr upstreams;
    std::map<std::string, std::shared_ptr<service_state>, std::less<>> services;
    // Replicas that the directory marks as leaving.
    std::set<std::string> leaving;
};

using published_view = published<serving_view>;

// Returns the newest view, or no_configuration before the first one.
result<std::shared_ptr<const serving_view>>
require_view(published_view::reader& views);

// Returns the service, or unknown_service when the document lacks it.
result<const service_spec*> require_service(const serving_view& view,
                                            const std::string& name);

// Returns the deadline of a request: `received` plus the time that the caller
// requested, which is at most, and by default, the time of its class.
time_point deadline_of(const class_spec& caller_class, time_point received,
                       std::optional<std::chrono::milliseconds> requested);

}

#endif
