#include "net/idle_connections.hpp"

#include <algorithm>
#include <utility>

namespace wisteriahatch
{

idle_connections::connection_ptr
idle_connections::take(time_point oldest_activity)
{
    for (auto position = this->connections.end();
         position != this->connections.begin();)
    {
        --position;
        if ((*position)->last_activity() < oldest_activity)
            continue;
        auto connection = std::move(*position);
        position = this->connections.erase(position);
        if (connection->is_reusable())
            return connection;
        connection->close();
    }
    return nullptr;
}

void idle_connections::put(const connection_ptr& connection)
{
    const auto newer = std::ranges::find_if(
        this->connections, [&connection](const connection_ptr& other)
        { return other->number() > connection->number(); });
    this->connections.insert(newer, connection);
}

void idle_connections::close_all()
{
    this->limit(0);
}

void idle_connections::close_before(std::uint64_t number)
{
    std::erase_if(this->connections,
                  [number](const connection_ptr& connection)
                  {
                      if (connection->number() >= number)
                          return false;
                      connection->close();
                      return true;
                  });
}

void idle_connections::limit(std::size_t max_connections)
{
    while (this->connections.size() > max_connections)
    {
        this->connections.front()->close();
        this->connections.erase(this->connections.begin());
    }
}

void idle_connections::close_unusable(time_point oldest_activity)
{
    std::erase_if(this->connections,
                  [oldest_activity](const connection_ptr& connection)
                  {
                      if (connection->last_activity() >= oldest_activity &&
                          connection->is_reusable())
                          return false;
                      connection->close();
                      return true;
                  });
}

bool idle_connections::is_empty() const
{
    return this->connections.empty();
}

std::size_t idle_connections::size() const
{
    return this->connections.size();
}

}
