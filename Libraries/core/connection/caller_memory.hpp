#ifndef WISTERIAHATCH_CORE_CONNECTION_CALLER_MEMORY_HPP
#define WISTERIAHATCH_CORE_CONNECTION_CALLER_MEMORY_HPP

#include "core/base/time.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_set>

namespace wisteriahatch
{

// What a process may hold for its callers, and the descriptors that it may use,
// derived from its machine.
struct caller_budget
{
    std::size_t max_bytes = 0;
    // Connections of callers, of other instances, and of probes and operators.
    std::size_t caller_connections = 0;
    std::size_t peer_connections = 0;
    std::size_t probe_connections = 0;
    // Connections to all upstreams together.
    std::size_t upstream_connections = 0;
};

// Derives the budget from the machine's memory and descriptors; 0 stands for an
// unknown figure, for which a fixed default applies.
caller_budget derive_caller_budget(std::size_t memory_mb,
                                   std::size_t descriptors);

// Limits the memory that a process holds for callers: requests that are being
// read, complete requests, replies that are not yet read, and buffers. When the
// limit is exceeded, the connections whose unfinished requests or unread
// replies have made the least progress for their age and size are dropped.
// Requests that are being served are never dropped; when they fill the memory,
// further ones are refused before they are served. Does no I/O. Thread-safe.
class caller_memory
{
public:
    // Bytes that an open connection takes besides its requests and replies:
    // measured 6 KB of resident memory for an idle connection.
    static constexpr std::size_t connection_bytes = std::size_t{8} * 1024;
    // What the kernel may hold for a connection in each direction, with its own
    // overhead. Not part of held_bytes, because it is rarely in use; the budget
    // leaves room for it on every connection.
    static constexpr std::size_t socket_buffer_bytes = std::size_t{8} * 1024;
    // The same for a connection that carries large messages, which is part of
    // held_bytes.
    static constexpr std::size_t large_socket_buffer_bytes =
        std::size_t{64} * 1024;

    // An idle connection is kept at least for this long, so that its caller can
    // send the next of several requests.
    static constexpr std::chrono::milliseconds min_displaced_idle_time{250};

    struct counts
    {
        std::size_t held_bytes = 0;
        // Unfinished requests and unread replies dropped because of the memory.
        std::size_t dropped = 0;
        // Connections that were closed in favour of new ones.
        std::size_t displaced = 0;
    };

    struct options
    {
        std::size_t max_bytes = SIZE_MAX;
        // Called after connections were dropped, at most once a second, on the
        // thread that exceeded the limit. Must not use the account. May be
        // empty.
        std::function<void(const counts&)> handle_drops;
    };

    enum class drop_cause : std::uint8_t
    {
        none,
        memory,
        // A new connection needs the descriptor.
        displaced,
    };

    // The memory of one connection.
    class reservation
    {
    public:
        // `server` identifies the server that accepted the connection.
        // `on_drop` is called once when the connection is dropped, possibly on
        // another thread, and must not use the account. `owner` must outlive
        // this.
        reservation(caller_memory& owner, const void* server,
                    std::function<void()> on_drop, time_point now);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        // Each of these records what the connection holds besides
        // connection_bytes. The first `received` bytes of a request have
        // arrived.
        void begin_request(std::size_t bytes, std::size_t received,
                           time_point now);
        // `received` further bytes of the request have arrived.
        void record_read(std::size_t bytes, std::size_t received,
                         time_point now);
        // The request is complete. Returns false if it has been dropped or if
        // there is no memory for it: it must not be served.
        bool begin_serving(std::size_t bytes, time_point now);
        // Serving the request takes `bytes` besides it. Returns false, and adds
        // nothing, if there is no memory for them.
        bool extend_request(std::size_t bytes, time_point now);
        // The reply is about to be written.
        void begin_reply(std::size_t bytes, time_point now);
        // The peer has made room for `written` further bytes of the reply.
        void record_write(std::size_t written, time_point now);
        // The connection waits for the next request.
        void end_request(std::size_t bytes, time_point now);
        // The connection only waits for its peer to close it.
        void begin_close(time_point now);
        // Adds `bytes` to what the open connection takes, until it is closed.
        // Returns false, and adds nothing, unless the memory is at most half
        // full afterwards.
        bool extend_connection(std::size_t bytes);
        // Any other cause than `none` means that the connection must be closed.
        drop_cause cause() const;

    private:
        friend class caller_memory;

        enum class phase : std::uint8_t
        {
            // No request has been completed, or none may follow.
            unused,
            reading,
            serving,
            replying,
            idle,
        };

        // Bytes received or written in the last one or two progress windows.
        std::size_t recent_progress(time_point now) const;
        // Size and age against recent progress; the highest is dropped first.
        double drop_score(time_point now) const;
        void record_progress(std::size_t bytes, time_point now);

        caller_memory* memory;
        const void* server;
        std::function<void()> handle_drop;
        phase current_phase = phase::unused;
        // Part of the size that does not depend on the phase.
        std::size_t fixed_size = connection_bytes;
        std::size_t size = connection_bytes;
        time_point phase_start;
        time_point window_start;
        // Opening the connection counts as progress, so that one whose first
        // request has not been read yet is not dropped before old ones.
        std::size_t window_bytes = connection_bytes;
        std::size_t previous_window_bytes = 0;
        std::atomic<drop_cause> dropped{drop_cause::none};
    };

    explicit caller_memory(options opts);

    // Drops one connection of the server, so that a new one takes its
    // descriptor: the one that has made the least progress with its unfinished
    // request or with its reply, or else the one that has been idle longest.
    // Returns false if all are serving requests or have been active within
    // `min_displaced_idle_time`.
    bool displace_connection(const void* server, time_point now);
    counts current() const;

private:
    using phase = reservation::phase;

    // Sets the size of a connection that has not been dropped.
    void resize(reservation& changed, std::size_t bytes);
    // Drops connections until the limit is met. Spares the complete requests
    // and `spared`. Returns whether the limit is met.
    bool enforce_limit(const reservation* spared, time_point now);
    void drop(reservation& chosen, drop_cause cause);
    void drop_for_memory(reservation& chosen);
    // Calls handle_drops if it is due.
    void report_drops(time_point now);
    template <class Predicate>
    reservation* find_least_progress(time_point now, Predicate is_candidate);
    // Returns the connection of the server that has been idle longest and for
    // long enough to be displaced, or nullptr.
    reservation* find_longest_idle(const void* server, time_point now);

    options values;
    mutable std::mutex mutex;
    counts totals;
    time_point last_report{};
    bool has_reported = false;
    // Value of totals.dropped at the last report.
    std::size_t reported_drops = 0;
    std::unordered_set<reservation*> active;
};

}

#endif
