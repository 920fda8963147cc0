#ifndef WISTERIAHATCH_TELEMETRY_OUTPUT_QUEUE_HPP
#define WISTERIAHATCH_TELEMETRY_OUTPUT_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Writes lines to a file descriptor without ever waiting for its reader. Lines
// wait in memory up to a bound; beyond it they are dropped and counted.
// Thread-safe.
class output_queue
{
public:
    static constexpr std::size_t max_waiting_bytes = std::size_t{256} * 1024;

    explicit output_queue(int descriptor);

    // Takes a line with its line break.
    void write(std::string_view line);
    // Lines dropped so far.
    std::uint64_t dropped() const;

private:
    void flush();

    int descriptor;
    mutable std::mutex mutex;
    std::string waiting;
    std::uint64_t dropped_lines = 0;
};

}

#endif
