#ifndef WISTERIAHATCH_ENTRY_SERVING_VIEW_HPP
#define WISTERIAHATCH_ENTRY_SERVING_VIEW_HPP

#include "core/connection/upstream_state.hpp"
#include "core/process/published.hpp"
#include "core/process/service_state.hpp"
#include "core/version/document.hpp"

#include <map>
#include <memory>
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

}

#endif
