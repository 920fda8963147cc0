#ifndef WISTERIAHATCH_LOAD_BALANCER_HPP
#define WISTERIAHATCH_LOAD_BALANCER_HPP

#include "core/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <vector>

namespace wisteriahatch
{

// Chooses entries round-robin, as the platform's load balancer does. Skips
// entries that are not ready, or that refused a connection within the last
// second, unless that would skip all of them.
class balancer
{
public:
    static constexpr std::chrono::seconds refusal_backoff{1};

    explicit balancer(std::vector<boost::asio::ip::tcp::endpoint> entries);

    std::size_t size() const;
    // Returns the index of the entry for the next request.
    std::size_t next(time_point now);
    const boost::asio::ip::tcp::endpoint& at(std::size_t entry) const;
    void set_ready(std::size_t entry, bool value);
    void record_refusal(std::size_t entry, time_point now);

private:
    struct target
    {
        boost::asio::ip::tcp::endpoint server;
        bool is_ready = true;
        time_point excluded_until{};
    };

    std::vector<target> targets;
    std::size_t last = 0;
};

}

#endif
