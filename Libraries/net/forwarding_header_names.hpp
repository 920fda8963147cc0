#ifndef WISTERIAHATCH_NET_FORWARDING_HEADER_NAMES_HPP
#define WISTERIAHATCH_NET_FORWARDING_HEADER_NAMES_HPP

#include <string>

namespace wisteriahatch
{

// Names of the header fields by which callers, this tier and upstreams tell
// each other about a forwarded request.
struct forwarding_header_names
{
    // Identifies one attempt of a caller; upstreams echo it.
    std::string request_id = "X-Request-Id";
    // Milliseconds for which the sender waits.
    std::string deadline = "X-Deadline-Ms";
    // The upstream that is meant; another one at its address refuses.
    std::string target_upstream = "X-Target-Upstream";
    // Proves that a reply is the upstream's own. Replies without it are not
    // passed on.
    std::string signature = "X-Signature";
    // Signatures of the parts of a merged answer, separated by commas.
    std::string part_signatures = "X-Part-Signatures";
    // Number of shards that a merged answer lacks.
    std::string missing_parts = "X-Missing-Parts";
    // Present when an upstream did not run the request.
    std::string not_executed = "X-Not-Executed";
    // "RUNNING,WAITING,SLOTS" of an upstream.
    std::string load = "X-Load";
};

}

#endif
