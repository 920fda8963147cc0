#ifndef WISTERIAHATCH_NET_CONFIGURATION_SOURCE_HPP
#define WISTERIAHATCH_NET_CONFIGURATION_SOURCE_HPP

#include "core/base/error.hpp"
#include "core/process/routing_change_log.hpp"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>

namespace wisteriahatch
{

// Source from which an instance reads its routes and upstreams and watches them
// for changes.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    virtual boost::asio::awaitable<result<routing_snapshot>> read() = 0;
    // Returns the changes after `revision` as soon as there are any, or none
    // when nothing has changed within `wait`.
    virtual boost::asio::awaitable<result<routing_changes>>
    watch(std::uint64_t revision, std::chrono::milliseconds wait) = 0;
};

}

#endif
