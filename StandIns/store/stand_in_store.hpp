#ifndef WISTERIAHATCH_STANDINS_STORE_STAND_IN_STORE_HPP
#define WISTERIAHATCH_STANDINS_STORE_STAND_IN_STORE_HPP

#include "net/http_server.hpp"
#include "net/http_target.hpp"
#include "net/worker_pool.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahatch
{

// How the stand-in answers GET requests.
enum class store_mode : std::uint8_t
{
    normal,
    // Answers 503.
    busy,
    // Answers 429.
    limited,
    // Does not answer.
    silent,
    // Answers 200 with a body that is not JSON.
    garbled,
};

// Stands in for the platform's metadata store: items with revisions that can be
// read one by one, in pages and by a watch. Thread-safe.
class stand_in_store
{
public:
    // Maximum number of items in one answer of /kv-range.
    static constexpr std::size_t page_items = 50;

    stand_in_store(worker_pool& workers, boost::asio::ip::tcp::endpoint listen);

    result<void> start();
    boost::asio::ip::tcp::endpoint endpoint() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Drops the event history. A watch from an earlier revision gets 410.
    void forget_history();
    // Keeps a copy of the items, to which restore_copy() returns. Revisions are
    // then given out again, and the epoch that every answer states rises.
    void save_copy();
    void restore_copy();
    void set_mode(store_mode mode);
    // Number of GET requests received so far.
    std::uint64_t calls() const;

private:
    // The state of an item after a change; without a value it was removed.
    struct event
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<std::string> value;
    };

    // What a restoration brings back.
    struct content
    {
        std::uint64_t revision = 1;
        std::map<std::string, event> items;
        std::vector<event> history;
        std::uint64_t history_start = 0;
    };

    boost::asio::awaitable<http_reply> handle(http_request request);
    boost::asio::awaitable<http_reply> answer_read(const http_target& target);
    http_reply answer_key(const http_target& target) const;
    http_reply answer_range(const http_target& target) const;
    boost::asio::awaitable<http_reply> answer_watch(http_target target);
    http_reply answer_control(const http_request& request,
                              const http_target& target);
    // Returns the events after a revision whose keys have the prefix, or
    // nothing when that part of the history was dropped.
    std::optional<std::vector<event>> events_after(std::uint64_t revision,
                                                   const std::string& prefix);

    mutable std::mutex mutex;
    content data;
    content copy;
    std::uint64_t epoch = 1;
    store_mode mode = store_mode::normal;
    std::uint64_t call_count = 0;
    http_server server;
};

}

#endif
