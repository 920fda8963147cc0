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

// A view and the addresses and connection shares that belong to it.
struct built_view
{
    std::shared_ptr<const serving_view> view;
    std::map<std::string, upstream_address> addresses;
};

// Builds the view of a document and a directory. States of replicas and
// services that `previous` (may be null) already has are shared with it, so
// that observations survive a change. A replica without a usable address is
// left out. A replica that the directory calls leaving gets no new work.
built_view build_view(const document_ptr& configuration,
                      const directory& instances,
                      const std::shared_ptr<const serving_view>& previous,
                      const service_state::options& policy, time_point now);

}

#endif
