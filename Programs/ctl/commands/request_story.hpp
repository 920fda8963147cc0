#ifndef WISTERIAHATCH_CTL_COMMANDS_REQUEST_STORY_HPP
#define WISTERIAHATCH_CTL_COMMANDS_REQUEST_STORY_HPP

#include "ctl/commands/log_record.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch::ctl
{

// Picks what the logs of several instances say about one request: its own
// lines, and what the instances that handled it had believed before: their last
// routes, their contact to the configuration source, their members' shares, and
// what became of the upstreams that the request used.
class request_story
{
public:
    // Other attempts at an upstream of the request that are told, the last
    // ones before its end.
    static constexpr std::size_t most_other_attempts = 3;

    // `records` holds each instance's lines in the order of its log.
    request_story(std::string_view request_id,
                  const std::vector<log_record>& records);

    // False when no line names the request.
    bool is_found() const;
    // In order of time; instances' clocks may differ. Lines about the request
    // start with "*", lines about what was believed with a space.
    std::vector<std::string> lines() const;

private:
    struct told_line
    {
        const log_record* record = nullptr;
        bool is_own = false;
    };

    void collect_own(std::string_view request_id,
                     const std::vector<log_record>& records);
    void collect_beliefs(const std::vector<log_record>& records);
    void collect_upstreams(const std::vector<log_record>& records);
    // True when an instance that handled the request wrote the record, no later
    // than its last line about the request.
    bool is_before_end(const log_record& record) const;

    std::vector<told_line> told;
    // The last own line by source.
    std::vector<const log_record*> ends;
    std::vector<std::string> upstreams;
};

}

#endif
