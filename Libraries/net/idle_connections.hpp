#ifndef WISTERIAHATCH_NET_IDLE_CONNECTIONS_HPP
#define WISTERIAHATCH_NET_IDLE_CONNECTIONS_HPP

#include "core/base/time.hpp"
#include "net/upstream_connection.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace wisteriahatch
{

// The open connections to one upstream that carry no request, in the order in
// which they were opened. Belongs to one worker.
class idle_connections
{
public:
    using connection_ptr = std::shared_ptr<upstream_connection>;

    // Returns the newest reusable connection whose last activity was at
    // `oldest_activity` or later, or nullptr. Taking the newest first means
    // that, if it turns out to be silent, all idle connections are older and
    // are closed with it. It also lets the others reach their idle timeout.
    connection_ptr take(time_point oldest_activity);
    void put(const connection_ptr& connection);

    void close_all();
    // Closes the connections that were opened before the one with this number.
    void close_before(std::uint64_t number);
    // Closes the oldest connections until at most `max_connections` are left.
    void limit(std::size_t max_connections);
    // Closes the connections whose last activity was before `oldest_activity`,
    // and those that are not reusable.
    void close_unusable(time_point oldest_activity);

    bool is_empty() const;
    std::size_t size() const;

private:
    std::vector<connection_ptr> connections;
};

}

#endif
