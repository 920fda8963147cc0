#ifndef WISTERIAHATCH_STANDINS_CROWD_MEMORY_WATCH_HPP
#define WISTERIAHATCH_STANDINS_CROWD_MEMORY_WATCH_HPP

#include <boost/asio/ip/address_v4.hpp>
#include <cstddef>

namespace wisteriahatch
{

// Measures what a process takes of its machine's memory: its resident memory,
// and the bytes that the kernel holds for the connections at one of its
// addresses, received but not read, or written but not yet sent.
class memory_watch
{
public:
    struct figures
    {
        std::size_t resident_kb = 0;
        std::size_t kernel_kb = 0;
    };

    memory_watch(int pid, const boost::asio::ip::address_v4& address);

    // Takes the figures now. Returns false when the process has ended.
    bool sample();
    // The figures at the moment when their sum was highest.
    const figures& peak() const;

private:
    std::size_t read_resident_kb() const;
    std::size_t read_kernel_kb() const;

    int process;
    boost::asio::ip::address_v4 local;
    figures highest;
};

}

#endif
