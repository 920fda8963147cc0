#ifndef WISTERIAHATCH_LOAD_BALANCER_HPP
#define WISTERIAHATCH_LOAD_BALANCER_HPP

#include "core/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <vector>

namespace wisteriahatch
{

// Chooses entries in turn, as the platform's balancer does: entries that are
// not ready, and for a second those that refused a connection, are left out
// while another one is left.
class balancer
{
public:
    static constexpr std::chrono::seconds hold_out{1};

    explicit balancer(std::vector<boost::asio::ip::tcp::endpoint> entries);

    std::size_t size() const;
    // Index of the next entry.
    std::size_t next(time_point now);
    const boost::asio::ip::tcp::endpoint& at(std::size_t entry) const;
    void set_ready(std::size_t entry, bool value);
    void record_refusal(std::size_t entry, time_point now);

private:
    struct target
    {
        boost::asio::ip::tcp::endpoint server;
        bool is_ready = true;
        time_point held_out_until{};
    };

    std::vector<target> targets;
    std::size_t last = 0;
};

}

#endif
