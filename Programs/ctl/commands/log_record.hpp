#ifndef WISTERIAHATCH_CTL_COMMANDS_LOG_RECORD_HPP
#define WISTERIAHATCH_CTL_COMMANDS_LOG_RECORD_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriahatch::ctl
{

// One line of an instance's log: fields NAME=VALUE in their order.
struct log_record
{
    // Tells apart the instances.
    std::string source;
    // The line from its field "time" on.
    std::string text;
    std::vector<std::pair<std::string, std::string>> fields;

    // Returns the value of a field; empty when there is none.
    std::string_view field(std::string_view name) const;
};

// Reads a line. Collectors put the host or the container before the field
// "time"; the last word there is the record's source, `source` where there is
// none. Returns nothing for a line without time and event.
std::optional<log_record> parse_log_line(std::string_view line,
                                         std::string_view source);

}

#endif
