#ifndef WISTERIAHATCH_TELEMETRY_OUTPUT_QUEUE_HPP
#define WISTERIAHATCH_TELEMETRY_OUTPUT_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Writes lines to a file descriptor without blocking on its reader. Lines that
// can't be written yet are buffered up to a limit; beyond it they are dropped
// and counted. Thread-safe.
class output_queue
{
public:
    static constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;

    explicit output_queue(int descriptor);

    // Writes or buffers a line, which includes its line break.
    void write(std::string_view line);
    // Returns the number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    // Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    int descriptor;
    mutable std::mutex mutex;
    std::string buffer;
    std::uint64_t dropped_lines = 0;
};

}

#endif
