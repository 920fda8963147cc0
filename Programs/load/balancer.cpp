#include "balancer.hpp"

#include <utility>

namespace wisteriahatch
{

balancer::balancer(std::vector<boost::asio::ip::tcp::endpoint> entries)
{
    for (auto& entry : entries)
        this->targets.push_back({.server = std::move(entry)});
}

std::size_t balancer::size() const
{
    return this->targets.size();
}

std::size_t balancer::next(time_point now)
{
    for (std::size_t tried = 0; tried < this->targets.size(); ++tried)
    {
        this->last = (this->last + 1) % this->targets.size();
        const target& candidate = this->targets[this->last];
        if (candidate.is_ready && candidate.excluded_until <= now)
            return this->last;
    }
    this->last = (this->last + 1) % this->targets.size();
    return this->last;
}

const boost::asio::ip::tcp::endpoint& balancer::at(std::size_t entry) const
{
    return this->targets[entry].server;
}

void balancer::set_ready(std::size_t entry, bool value)
{
    this->targets[entry].is_ready = value;
}

void balancer::record_refusal(std::size_t entry, time_point now)
{
    this->targets[entry].excluded_until = now + refusal_backoff;
}

}
