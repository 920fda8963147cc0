#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_DIFF_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_DIFF_HPP

#include "core/version/document.hpp"

#include <string>
#include <vector>

namespace wisteriahatch
{

// Describes the changes from one document to another, one sentence without a
// line end per change: first the document itself (whether instances accept it),
// then the fleet, the services and the classes. Returns nothing if both
// documents have the same bytes.
std::vector<std::string> describe_changes(const document& from,
                                          const document& to);

}

#endif
