#include "telemetry/output_queue.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace wisteriahatch;

// Guards against a process that blocks because nobody reads its log, and
// against lines that are dropped before the buffer is full.
TEST_CASE("writing a line never blocks on the reader")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    output_queue output(pipe_ends[1]);
    const std::string line(1023, 'x');
    std::size_t lines = 0;
    // Nobody reads the pipe: a blocking write would not return.
    while (output.dropped() == 0 && lines < 10000)
    {
        output.write(line + "\n");
        ++lines;
    }
    CHECK(output.dropped() == 1);
    CHECK(lines * (line.size() + 1) > output_queue::max_buffered_bytes);
    // A reader gets all but the dropped line, in order.
    std::size_t received = 0;
    std::string buffer(65536, '\0');
    while (received < (lines - 1) * (line.size() + 1))
    {
        const auto count = ::read(pipe_ends[0], buffer.data(), buffer.size());
        REQUIRE(count > 0);
        received += static_cast<std::size_t>(count);
        // Every write also flushes the buffer.
        output.write("");
    }
    CHECK(received == (lines - 1) * (line.size() + 1));
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
}
