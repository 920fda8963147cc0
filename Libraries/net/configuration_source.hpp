#ifndef WISTERIAHATCH_NET_CONFIGURATION_SOURCE_HPP
#define WISTERIAHATCH_NET_CONFIGURATION_SOURCE_HPP

#include "core/base/error.hpp"
#include "core/process/routing_snapshot.hpp"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahatch
{

// One upstream that was written or removed.
struct upstream_change
{
    std::string id;
    // Empty for an upstream that was removed or can't be used.
    std::optional<upstream_spec> spec;
};

// What has changed since an earlier revision.
struct source_changes
{
    std::uint64_t revision = 0;
    // True when the source no longer knows what has changed; only a new
    // snapshot helps then.
    bool is_history_lost = false;
    route_table_ptr routes;
    // In the order of the changes.
    std::vector<upstream_change> upstreams;
};

// Where an instance learns routes and upstreams. It can be read and watched.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    virtual boost::asio::awaitable<result<routing_snapshot>> read() = 0;
    // Returns as soon as something has changed after `revision`, or with no
    // change after `wait`.
    virtual boost::asio::awaitable<result<source_changes>>
    watch(std::uint64_t revision, std::chrono::milliseconds wait) = 0;
};

}

#endif
