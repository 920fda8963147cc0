#ifndef WISTERIAHATCH_CTL_COMMANDS_REQUEST_TIMELINE_HPP
#define WISTERIAHATCH_CTL_COMMANDS_REQUEST_TIMELINE_HPP

#include "ctl/commands/log_record.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch::ctl
{

// Selects the log lines of several instances that explain one request: the
// lines that name it, and those that give the state of the instances that
// handled it: their last routes, their contact to the configuration source,
// their members' shares, and the state of the upstreams that the request used.
class request_timeline
{
public:
    // Limit on the attempts of other requests that are listed for each upstream
    // of the request: the last ones before the request ended.
    static constexpr std::size_t max_other_attempts = 3;

    // `records` has each instance's lines in the order of its log, and must
    // outlive the timeline.
    request_timeline(std::string_view request_id,
                     const std::vector<log_record>& records);

    // False if no line has the request id.
    bool is_found() const;
    // Returns the lines in order of time; instances' clocks may differ. Lines
    // about the request start with "*", lines about state with a space.
    std::vector<std::string> lines() const;

private:
    struct timeline_entry
    {
        const log_record* record = nullptr;
        bool is_about_request = false;
    };

    void collect_request_records(std::string_view request_id,
                                 const std::vector<log_record>& records);
    void collect_state_records(const std::vector<log_record>& records);
    void collect_upstream_records(const std::vector<log_record>& records);
    // True if the record comes from an instance that handled the request, and
    // is no later than that instance's last line about the request.
    bool is_before_request_end(const log_record& record) const;

    std::vector<timeline_entry> entries;
    // The last record about the request from each source.
    std::vector<const log_record*> last_records;
    std::vector<std::string> used_upstreams;
};

}

#endif
