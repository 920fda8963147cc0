#ifndef WISTERIAHATCH_NET_FORWARDING_HEADER_NAMES_HPP
#define WISTERIAHATCH_NET_FORWARDING_HEADER_NAMES_HPP

#include <string>

namespace wisteriahatch
{

// Names of the header fields that callers, this tier and upstreams add to
// forwarded requests and their replies.
struct forwarding_header_names
{
    // Identifies one attempt of a caller; upstreams echo it.
    std::string request_id = "X-Request-Id";
    // Time in milliseconds for which the sender waits for the reply.
    std::string deadline = "X-Deadline-Ms";
    // The intended upstream; any other upstream at its address refuses the
    // request.
    std::string target_upstream = "X-Target-Upstream";
    // Proves that a reply was created by the upstream. Replies without it are
    // not forwarded.
    std::string signature = "X-Signature";
    // Signatures of the parts of a merged answer, separated by commas.
    std::string part_signatures = "X-Part-Signatures";
    // Number of shards missing from a merged answer.
    std::string missing_parts = "X-Missing-Parts";
    // Present when an upstream did not run the request.
    std::string not_executed = "X-Not-Executed";
    // Load of an upstream as "RUNNING,WAITING,SLOTS": requests being run,
    // requests waiting, and requests that can run at once. A fourth figure may
    // follow: the time that the machine takes in percent of the usual time.
    std::string load = "X-Load";
    // "1" in the replies of an upstream that leaves.
    std::string leaving = "X-Leaving";
    // In a refusal: how long the upstream wants no requests, in seconds as a
    // decimal number.
    std::string retry_after = "Retry-After";
    // Requests a second that an upstream takes from all instances together, as
    // a decimal number. Absent when it has no limit.
    std::string rate_limit = "X-Rate-Limit";
    // How long the upstream is still cold, in milliseconds.
    std::string warm_up_left = "X-Warm-Up-Ms";
};

}

#endif
