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

// A versioned value that can be published, read and watched (long polling).
// Publishing can be delayed, readers can be served an older revision, and the
// value can be marked unavailable. Must only be used on one worker.
class published_value
{
public:
    // A value and its revision number. Number 0 means that nothing has been
    // published.
    struct revision
    {
        std::uint64_t number = 0;
        std::string bytes;
    };

    explicit published_value(boost::asio::io_context& worker);

    // Publishes the value, which readers see after the lag.
    void put(std::string bytes);
    // Returns the visible revision. If its number is `after`, waits up to
    // `max_wait` for another one or until the value becomes unavailable.
    boost::asio::awaitable<revision> read(std::uint64_t after,
                                          std::chrono::milliseconds max_wait);

    void set_lag(std::chrono::milliseconds value);
    // While true, readers see the second newest revision at the time of this
    // call, or the only one, whatever is published afterwards.
    void set_stale(bool value);
    void set_down(bool value);
    bool is_down() const;

    // Returns the number of reads, the visible revision, and the current and
    // peak number of waiting readers.
    boost::json::object counters() const;

private:
    const revision& visible() const;
    void wake_readers();
    boost::asio::awaitable<void> publish_after_lag(std::string bytes);
    void publish(std::string bytes);

    boost::asio::io_context& worker;
    // All revisions so far. The first one stands for an unpublished value.
    std::vector<revision> history{revision{}};
    std::size_t stale_index = 0;
    bool is_stale = false;
    bool down = false;
    std::chrono::milliseconds lag{0};
    std::list<boost::asio::steady_timer*> readers;
    std::uint64_t reads = 0;
    std::uint64_t max_waiting = 0;
};

}

#endif
