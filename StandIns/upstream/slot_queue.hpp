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

// The slots of one stand-in upstream, and a first-in first-out queue of the
// requests that wait for one. Must only be used on one worker.
class slot_queue
{
public:
    // A request that holds a slot or waits for one. `timer` is cancelled to
    // wake it up when it gets a slot or its peer closes the connection.
    struct ticket
    {
        explicit ticket(boost::asio::io_context& worker)
            : timer(worker)
        {
        }

        boost::asio::steady_timer timer;
        bool has_slot = false;
        bool is_cancelled = false;
    };

    using ticket_ptr = std::shared_ptr<ticket>;

    // Takes a slot or joins the queue. Returns false if no slot is free and
    // `max_waiting` requests are waiting.
    bool enter(const ticket_ptr& entering, std::size_t slots,
               std::size_t max_waiting);
    // Waits until the request has a slot or is cancelled.
    static boost::asio::awaitable<void> wait(ticket_ptr waiting);
    // Releases the slot, which the next waiting requests can take, or leaves
    // the queue.
    void leave(const ticket_ptr& leaving, std::size_t slots);

    std::size_t busy() const;
    std::size_t waiting() const;

private:
    std::size_t used = 0;
    std::list<ticket_ptr> queue;
};

}

#endif
