#ifndef WISTERIAHATCH_LOAD_UPSTREAM_COUNTERS_HPP
#define WISTERIAHATCH_LOAD_UPSTREAM_COUNTERS_HPP

#include "core/base/error.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

namespace wisteriahatch
{

// Work that upstreams have started since they were started, in all.
struct upstream_counters
{
    std::uint64_t searches_started = 0;
    std::uint64_t runs_started = 0;
};

// Reads GET /counters of every upstream stand-in. Fails when one does not
// answer.
result<upstream_counters> read_upstream_counters(
    const std::vector<boost::asio::ip::tcp::endpoint>& upstreams);

}

#endif
