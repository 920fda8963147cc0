#ifndef WISTERIAHATCH_CORE_PROCESS_PUBLISHED_HPP
#define WISTERIAHATCH_CORE_PROCESS_PUBLISHED_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace wisteriahatch
{

// An immutable value that is replaced as a whole (read-copy-update). Each
// reader keeps its own pointer and takes the lock only after a change, because
// std::atomic<std::shared_ptr> takes a lock on every load in libstdc++ 12.
template <class Value>
class published
{
public:
    using pointer = std::shared_ptr<const Value>;

    // Replaces the value; readers see it at their next access.
    void publish(pointer next)
    {
        const std::lock_guard lock(this->mutex);
        this->value = std::move(next);
        this->generation.fetch_add(1, std::memory_order_release);
    }

    // Returns the newest value; takes the lock.
    pointer latest() const
    {
        const std::lock_guard lock(this->mutex);
        return this->value;
    }

    // One thread's view of the value. Not thread-safe itself.
    class alignas(64) reader
    {
    public:
        explicit reader(const published& source)
            : source(&source)
        {
        }

        // Returns the newest value; null before the first publish.
        const pointer& current()
        {
            const auto newest =
                this->source->generation.load(std::memory_order_acquire);
            if (newest != this->seen)
            {
                this->value = this->source->latest();
                this->seen = newest;
            }
            return this->value;
        }

    private:
        const published* source;
        std::uint64_t seen = 0;
        pointer value;
    };

private:
    mutable std::mutex mutex;
    pointer value;
    std::atomic<std::uint64_t> generation{0};
};

}

#endif
