#include "telemetry/output_queue.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace wisteriahatch
{

output_queue::output_queue(int descriptor)
    : descriptor(descriptor)
{
}

void output_queue::write(std::string_view line)
{
    const std::lock_guard lock(this->mutex);
    if (this->buffer.size() + line.size() > max_buffered_bytes)
        this->flush();
    if (this->buffer.size() + line.size() > max_buffered_bytes)
    {
        ++this->dropped_lines;
        return;
    }
    this->buffer += line;
    this->flush();
}

std::uint64_t output_queue::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->dropped_lines;
}

void output_queue::flush()
{
    std::size_t written = 0;
    while (written < this->buffer.size())
    {
        pollfd poll_request{
            .fd = this->descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&poll_request, 1, 0) != 1 ||
            (poll_request.revents & POLLOUT) == 0)
            break;
        // A pipe that is ready for writing accepts PIPE_BUF bytes without
        // blocking (POSIX, write()). The descriptor is not set to O_NONBLOCK,
        // because other processes may share it.
        const auto size =
            std::min<std::size_t>(PIPE_BUF, this->buffer.size() - written);
        const auto count =
            ::write(this->descriptor, this->buffer.data() + written, size);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    this->buffer.erase(0, written);
}

}
