#ifndef WISTERIAHATCH_NET_FORWARDING_DIALECT_HPP
#define WISTERIAHATCH_NET_FORWARDING_DIALECT_HPP

#include "net/forwarding_header_names.hpp"
#include "net/upstream_dialect.hpp"

#include <memory>

namespace wisteriahatch
{

// Returns the dialect of upstreams that receive opaque requests, with all
// metadata of request and upstream in headers of these names.
std::shared_ptr<const upstream_dialect>
make_forwarding_dialect(forwarding_header_names names);

}

#endif
