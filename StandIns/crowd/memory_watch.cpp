#include "StandIns/crowd/memory_watch.hpp"

#include <arpa/inet.h>
#include <cstdio>
#include <fstream>
#include <string>

namespace wisteriahatch
{

namespace
{

constexpr std::size_t kilobyte = 1024;
// State of a listening socket in /proc/net/tcp, whose receive queue counts
// connections instead of bytes.
constexpr unsigned listening = 0x0A;

}

memory_watch::memory_watch(int pid, const boost::asio::ip::address_v4& address)
    : process(pid)
    , local(address)
{
}

bool memory_watch::sample()
{
    const figures now{.resident_kb = this->read_resident_kb(),
                      .kernel_kb = this->read_kernel_kb()};
    if (now.resident_kb == 0)
        return false;
    if (now.resident_kb + now.kernel_kb >
        this->highest.resident_kb + this->highest.kernel_kb)
        this->highest = now;
    return true;
}

const memory_watch::figures& memory_watch::peak() const
{
    return this->highest;
}

std::size_t memory_watch::read_resident_kb() const
{
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    std::size_t resident = 0;
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            resident =
                std::stoul(line.substr(line.find_first_of("0123456789")));
    return resident;
}

// Also counts connections that the process has not accepted yet.
std::size_t memory_watch::read_kernel_kb() const
{
    std::ifstream table("/proc/net/tcp");
    std::size_t bytes = 0;
    for (std::string line; std::getline(table, line);)
    {
        unsigned address = 0;
        unsigned state = 0;
        unsigned long unsent = 0;
        unsigned long unread = 0;
        const int fields =
            std::sscanf(line.c_str(), " %*d: %8X:%*X %*X:%*X %2X %8lX:%8lX",
                        &address, &state, &unsent, &unread);
        if (fields == 4 && address == htonl(this->local.to_uint()) &&
            state != listening)
            bytes += unsent + unread;
    }
    return bytes / kilobyte;
}

}
