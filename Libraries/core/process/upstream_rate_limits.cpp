#include "core/process/upstream_rate_limits.hpp"

#include <utility>

namespace wisteriahatch
{

bool upstream_rate_limits::record(std::string_view upstream,
                                  std::optional<double> per_second,
                                  time_point now)
{
    const auto found = this->upstreams.find(upstream);
    const bool is_known = found != this->upstreams.end();
    if (!per_second)
    {
        if (is_known)
            this->upstreams.erase(found);
        return is_known;
    }
    if (!is_known && this->upstreams.size() >= max_upstreams)
        return false;
    auto& entry =
        is_known ? found->second : this->upstreams[std::string(upstream)];
    entry.stated_at = now;
    return std::exchange(entry.per_second, *per_second) != *per_second;
}

void upstream_rate_limits::record_send(std::string_view upstream,
                                       send_kind kind)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return;
    ++(kind == send_kind::first ? found->second.first_sends
                                : found->second.repeats);
}

std::vector<rate_limit_use> upstream_rate_limits::take_use()
{
    std::vector<rate_limit_use> use;
    use.reserve(this->upstreams.size());
    for (auto& [id, entry] : this->upstreams)
        use.push_back({.upstream = id,
                       .per_second = entry.per_second,
                       .first_sends = std::exchange(entry.first_sends, 0),
                       .repeats = std::exchange(entry.repeats, 0)});
    return use;
}

std::size_t upstream_rate_limits::size() const
{
    return this->upstreams.size();
}

}
