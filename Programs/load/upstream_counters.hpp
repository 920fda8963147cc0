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

// Total work that upstreams have started since their processes began.
struct upstream_counters
{
    std::uint64_t searches_started = 0;
    std::uint64_t runs_started = 0;
    // Executions of non-idempotent requests by the run id in their payload.
    std::map<std::string, std::uint64_t> run_ids;

    // Returns the work started since `before`. `run_ids` keeps the total counts
    // of the run ids executed since then.
    upstream_counters since(const upstream_counters& before) const;
    // Returns the number of run ids that were executed more than once.
    std::uint64_t executed_twice() const;
};

// Adds up the replies to GET /counters of upstream stand-ins, or of admin ports
// that answer for several. Fails if one does not answer.
result<upstream_counters> read_upstream_counters(
    const std::vector<boost::asio::ip::tcp::endpoint>& upstreams);

}

#endif
