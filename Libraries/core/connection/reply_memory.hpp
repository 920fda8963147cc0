#ifndef WISTERIAHATCH_CORE_CONNECTION_REPLY_MEMORY_HPP
#define WISTERIAHATCH_CORE_CONNECTION_REPLY_MEMORY_HPP

#include <cstddef>
#include <functional>
#include <set>

namespace wisteriahatch
{

// Limits the memory of all replies that are being received. When they exceed
// the limit together, the largest ones are given up: replies without end grow
// larger than the others. Does no I/O. Not thread-safe.
class reply_memory
{
public:
    // The memory of one reply, from its first byte to its last.
    class reservation
    {
    public:
        // `on_give_up` is called when the reply is given up because another one
        // has grown, and must not destroy a reservation. `owner` must outlive
        // this.
        reservation(reply_memory& owner, std::function<void()> on_give_up);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        // Records the size of what has been received. Gives up replies while
        // the limit is exceeded; this one may be among them.
        void resize(std::size_t bytes);
        bool is_given_up() const;

    private:
        friend class reply_memory;

        reply_memory* memory;
        std::function<void()> handle_give_up;
        std::size_t size = 0;
        bool has_been_given_up = false;
    };

    explicit reply_memory(std::size_t max_bytes);

    // Bytes of all replies that are being received.
    std::size_t held_bytes() const;

private:
    // Gives up the largest replies until the limit is met.
    void enforce_limit(const reservation& grown);

    std::size_t limit;
    std::size_t total = 0;
    std::set<reservation*> active;
};

}

#endif
