#ifndef WISTERIAHATCH_NET_IDLE_CONNECTIONS_HPP
#define WISTERIAHATCH_NET_IDLE_CONNECTIONS_HPP

#include "core/base/time.hpp"
#include "net/upstream_connection.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace wisteriahatch
{

// The open connections of one upstream that carry no request, in the order of
// opening. Belongs to one worker.
class idle_connections
{
public:
    using connection_ptr = std::shared_ptr<upstream_connection>;

    // Returns the newest connection that was heard from at `oldest_heard` or
    // later, or nullptr. The newest one is taken first: when it turns out to
    // be silent, every idle one is older and is closed with it. The others can
    // reach their idle timeout.
    connection_ptr take(time_point oldest_heard);
    void put(const connection_ptr& connection);

    void close_all();
    // Closes the connections that were opened before the given one.
    void close_before(std::uint64_t number);
    // Closes the oldest connections until at most `most` are left.
    void limit(std::size_t most);
    // Closes the connections last heard from before `oldest_heard`, and those
    // that the upstream has closed.
    void close_unusable(time_point oldest_heard);

    bool is_empty() const;
    std::size_t size() const;

private:
    std::vector<connection_ptr> connections;
};

}

#endif
