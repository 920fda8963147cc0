#ifndef WISTERIAHATCH_STANDINS_UPSTREAM_SLOT_QUEUE_HPP
#define WISTERIAHATCH_STANDINS_UPSTREAM_SLOT_QUEUE_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <list>
#include <memory>

namespace wisteriahatch
{

// The slots of one stand-in upstream, and the requests that wait for one in
// the order of arrival. Belongs to one worker.
class slot_queue
{
public:
    // A request's place. `timer` is cancelled to wake the request up: when a
    // slot was given to it, or when its peer has gone.
    struct place
    {
        explicit place(boost::asio::io_context& worker)
            : timer(worker)
        {
        }

        boost::asio::steady_timer timer;
        bool has_slot = false;
        bool is_cancelled = false;
    };

    using place_ptr = std::shared_ptr<place>;

    // Returns false when no slot is free and `max_waiting` requests wait.
    bool enter(const place_ptr& entering, std::size_t slots,
               std::size_t max_waiting);
    // Waits for the slot or for the cancellation.
    static boost::asio::awaitable<void> wait(place_ptr waiting);
    // Gives up the slot or the place in the queue.
    void leave(const place_ptr& leaving, std::size_t slots);

    std::size_t busy() const;
    std::size_t waiting() const;

private:
    std::size_t used = 0;
    std::list<place_ptr> queue;
};

}

#endif
