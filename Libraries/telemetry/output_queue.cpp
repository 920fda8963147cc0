#include "telemetry/output_queue.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace wisteriahatch
{

output_queue::output_queue(int chosen)
    : descriptor(chosen)
{
}

void output_queue::write(std::string_view line)
{
    const std::lock_guard lock(this->mutex);
    if (this->waiting.size() + line.size() > max_waiting_bytes)
        this->flush();
    if (this->waiting.size() + line.size() > max_waiting_bytes)
    {
        ++this->dropped_lines;
        return;
    }
    this->waiting += line;
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
    while (written < this->waiting.size())
    {
        pollfd wanted{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&wanted, 1, 0) != 1 || (wanted.revents & POLLOUT) == 0)
            break;
        // A pipe that is ready takes this much without blocking (POSIX,
        // write()); the descriptor's own flags stay as they are, because other
        // processes may share it.
        const auto size =
            std::min<std::size_t>(PIPE_BUF, this->waiting.size() - written);
        const auto count =
            ::write(this->descriptor, this->waiting.data() + written, size);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    this->waiting.erase(0, written);
}

}
