#include "core/process/reader_selection.hpp"

#include <algorithm>

namespace wisteriahatch
{

std::string reader_selection::choose(const std::string& own_address,
                                     std::vector<std::string> live_members,
                                     time_point now) const
{
    std::ranges::sort(live_members);
    std::size_t failed = 0;
    for (const auto& member : live_members)
    {
        if (member >= own_address || failed >= max_failed_readers)
            return "";
        if (!this->has_failed(member, now))
            return member;
        ++failed;
    }
    return "";
}

void reader_selection::record_failure(const std::string& reader, time_point now)
{
    std::erase_if(this->failed_until,
                  [now](const auto& each) { return each.second <= now; });
    this->failed_until[reader] = now + failure_backoff;
}

bool reader_selection::has_failed(const std::string& reader,
                                  time_point now) const
{
    const auto found = this->failed_until.find(reader);
    return found != this->failed_until.end() && now < found->second;
}

}
