#include "serving_view.hpp"

#include <algorithm>

namespace wisteriahatch
{

result<std::shared_ptr<const serving_view>>
require_view(published_view::reader& views)
{
    const auto& view = views.current();
    if (view == nullptr)
        return error{error_kind::no_configuration,
                     "this instance has no document yet; use another instance "
                     "or wait until /ready returns 200"};
    return view;
}

result<const service_spec*> require_service(const serving_view& view,
                                            const std::string& name)
{
    const auto* service = view.configuration->find_service(name);
    if (service == nullptr)
        return error{error_kind::unknown_service,
                     "the document has no service \"" + name +
                         "\"; use one of its [service] sections"};
    return service;
}

time_point deadline_of(const class_spec& caller_class, time_point received,
                       std::optional<std::chrono::milliseconds> requested)
{
    const auto allowed = caller_class.deadline;
    return received + std::min(requested.value_or(allowed), allowed);
}

}
