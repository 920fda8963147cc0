#ifndef WISTERIAHATCH_ENTRY_VIEW_BUILDER_HPP
#define WISTERIAHATCH_ENTRY_VIEW_BUILDER_HPP

#include "core/base/time.hpp"
#include "core/process/directory.hpp"
#include "core/process/service_state.hpp"
#include "net/upstream_pool.hpp"
#include "serving_view.hpp"

#include <map>
#include <memory>
#include <string>

namespace wisteriahatch
{

// A serving view and the addresses and connection shares of its upstreams.
struct built_view
{
    std::shared_ptr<const serving_view> view;
    std::map<std::string, upstream_address> addresses;
};

// Builds the view for a document and a directory. States of services, and of
// replicas that stay in their failure domain, are shared with `previous` (may
// be null), so that observations survive a change. A replica without a valid
// address is left out. A replica that the directory marks as leaving gets no
// new work.
built_view build_view(const document_ptr& configuration,
                      const directory& instances,
                      const std::shared_ptr<const serving_view>& previous,
                      const service_state::options& policy, time_point now);

}

#endif
