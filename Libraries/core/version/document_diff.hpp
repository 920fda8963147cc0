#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_DIFF_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_DIFF_HPP

#include "core/version/document.hpp"

#include <string>
#include <vector>

namespace wisteriahatch
{

// Returns what changes when instances go from one document to the other, one
// sentence a change and without line ends. Begins with the document itself
// (whether instances accept it), then the fleet, services and classes. Empty
// if both have the same bytes.
std::vector<std::string> describe_changes(const document& from,
                                          const document& to);

}

#endif
