#ifndef WISTERIAHATCH_STANDINS_PLATFORM_PUBLISHED_VALUE_HPP
#define WISTERIAHATCH_STANDINS_PLATFORM_PUBLISHED_VALUE_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace wisteriahatch
{

// A value that can be replaced, read and watched. Can lag, go back to the
// value before, or be out of order. Belongs to one worker.
class published_value
{
public:
    // A value as a reader sees it. Revision 0 means that there is none.
    struct revision
    {
        std::uint64_t number = 0;
        std::string bytes;
    };

    explicit published_value(boost::asio::io_context& worker);

    // Publishes the value; readers see it after the lag.
    void put(std::string bytes);
    // Returns the value that readers see. Waits up to `longest` for one whose
    // number is not `after`.
    boost::asio::awaitable<revision> read(std::uint64_t after,
                                          std::chrono::milliseconds longest);

    void set_lag(std::chrono::milliseconds value);
    // While true, readers see the value before the one that was last visible,
    // whatever is published.
    void set_stale(bool value);
    void set_down(bool value);
    bool is_down() const;

    // Reads, changes, and readers that wait now and waited at most.
    boost::json::object counters() const;

private:
    const revision& visible() const;
    void wake_readers();
    boost::asio::awaitable<void> publish_late(std::string bytes);
    void publish(std::string bytes);

    boost::asio::io_context& worker;
    // Every value so far; the first stands for none.
    std::vector<revision> history{revision{}};
    std::size_t stale_index = 0;
    bool is_stale = false;
    bool down = false;
    std::chrono::milliseconds lag{0};
    std::list<boost::asio::steady_timer*> readers;
    std::uint64_t reads = 0;
    std::uint64_t most_waiting = 0;
};

}

#endif
