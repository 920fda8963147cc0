#ifndef WISTERIAHATCH_NET_FORWARDING_DIALECT_HPP
#define WISTERIAHATCH_NET_FORWARDING_DIALECT_HPP

#include "net/forwarding_header_names.hpp"
#include "net/upstream_dialect.hpp"

#include <memory>

namespace wisteriahatch
{

// The dialect of upstreams that get opaque requests and describe themselves
// and the request in headers of these names.
std::shared_ptr<const upstream_dialect>
make_forwarding_dialect(forwarding_header_names names);

}

#endif
