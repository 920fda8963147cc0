#ifndef WISTERIAHATCH_NET_CONFIGURATION_SOURCE_HPP
#define WISTERIAHATCH_NET_CONFIGURATION_SOURCE_HPP

#include "core/base/error.hpp"
#include "core/process/routing_change_log.hpp"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>

namespace wisteriahatch
{

// Where an instance learns routes and upstreams. It can be read and watched.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    virtual boost::asio::awaitable<result<routing_snapshot>> read() = 0;
    // Returns as soon as something has changed after `revision`, or with no
    // change after `wait`.
    virtual boost::asio::awaitable<result<routing_changes>>
    watch(std::uint64_t revision, std::chrono::milliseconds wait) = 0;
};

}

#endif
