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

// What a request needs of the configuration: the document in force, the
// replicas whose addresses are known, and the state shared by the queries of a
// service. Replaced as a whole when the document or the directory changes.
struct serving_view
{
    document_ptr configuration;
    upstream_table_ptr upstreams;
    std::map<std::string, std::shared_ptr<service_state>, std::less<>> services;
    // Replicas that the directory calls leaving.
    std::set<std::string> leaving;
};

using published_view = published<serving_view>;

// Returns the newest view; no_configuration before the first one.
result<std::shared_ptr<const serving_view>>
require_view(published_view::reader& views);

// Returns the service; unknown_service when the document does not have it.
result<const service_spec*> require_service(const serving_view& view,
                                            const std::string& name);

// Returns the end of the time that a caller asked for, which is at most that of
// its class and counts from the arrival of the request.
time_point deadline_of(const class_spec& caller_class, time_point received,
                       std::optional<std::chrono::milliseconds> asked);

}

#endif
