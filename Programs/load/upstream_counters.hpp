#ifndef WISTERIAHATCH_LOAD_UPSTREAM_COUNTERS_HPP
#define WISTERIAHATCH_LOAD_UPSTREAM_COUNTERS_HPP

#include "core/base/error.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Work that upstreams have started since they were started, in all.
struct upstream_counters
{
    std::uint64_t searches_started = 0;
    std::uint64_t runs_started = 0;
    // Executions of non-idempotent requests by the run id in their payload.
    std::map<std::string, std::uint64_t> run_ids;

    // Work started since `before`; keeps the run ids executed meanwhile.
    upstream_counters since(const upstream_counters& before) const;
    // Run ids that were executed more than once.
    std::uint64_t executed_twice() const;
};

// Reads GET /counters of upstream stand-ins, or of the admin ports that answer
// for several. Fails when one does not answer.
result<upstream_counters> read_upstream_counters(
    const std::vector<boost::asio::ip::tcp::endpoint>& upstreams);

}

#endif
