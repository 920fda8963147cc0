#include "telemetry/output_queue.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace wisteriahatch;

// Guards against a process that stands still because nobody reads its log, and
// against lines that are lost although there was room.
TEST_CASE("lines never wait for a reader")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    output_queue output(ends[1]);
    const std::string line(1023, 'x');
    std::size_t lines = 0;
    // Nobody reads: a write that waits would not return.
    while (output.dropped() == 0 && lines < 10000)
    {
        output.write(line + "\n");
        ++lines;
    }
    CHECK(output.dropped() == 1);
    CHECK(lines * (line.size() + 1) > output_queue::max_waiting_bytes);
    // A reader gets all but the dropped line, in order.
    std::size_t received = 0;
    std::string buffer(65536, '\0');
    while (received < (lines - 1) * (line.size() + 1))
    {
        const auto count = ::read(ends[0], buffer.data(), buffer.size());
        REQUIRE(count > 0);
        received += static_cast<std::size_t>(count);
        // Any further line moves what waits.
        output.write("");
    }
    CHECK(received == (lines - 1) * (line.size() + 1));
    ::close(ends[0]);
    ::close(ends[1]);
}
