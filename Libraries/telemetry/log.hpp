#ifndef WISTERIAHATCH_TELEMETRY_LOG_HPP
#define WISTERIAHATCH_TELEMETRY_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriahatch
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

// A field of an event; format_event says which values are quoted.
struct log_field
{
    std::string_view key;
    std::string value;
};

// Sets up log4cplus to write to standard output: time, program, level, event,
// fields. Logging never blocks on the reader of the output; see output_queue. A
// further call replaces the program name and the level. `level` is debug, info,
// warning or error; returns false for any other name.
bool start_logging(std::string_view program, std::string_view level);

// Returns the event as one line without time: "level=info event=NAME
// key=value". Values that are empty or hold spaces, quotes, backslashes, equals
// signs or control characters are quoted; control characters are escaped.
std::string format_event(log_level level, std::string_view event,
                         std::initializer_list<log_field> fields = {});

// Writes an event as one line, formatted by format_event. Thread-safe.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

// Returns the number of lines dropped so far because the output was not read.
std::uint64_t dropped_log_lines();

}

#endif
