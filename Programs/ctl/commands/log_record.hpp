#ifndef WISTERIAHATCH_CTL_COMMANDS_LOG_RECORD_HPP
#define WISTERIAHATCH_CTL_COMMANDS_LOG_RECORD_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriahatch::ctl
{

// One line of an instance's log: fields NAME=VALUE in the order written.
struct log_record
{
    // Host, container or file that identifies the instance.
    std::string source;
    // The line, starting at its field "time".
    std::string text;
    std::vector<std::pair<std::string, std::string>> fields;

    // Returns the value of a field; empty when there is none.
    std::string_view field(std::string_view name) const;
};

// Parses a log line. Log collectors put the host or container before the field
// "time": the last word there becomes the record's source, or `source` if there
// is none. Returns nothing for a line that lacks the field time or event.
std::optional<log_record> parse_log_line(std::string_view line,
                                         std::string_view source);

}

#endif
