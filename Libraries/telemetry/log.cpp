#include "telemetry/log.hpp"

#include "telemetry/output_queue.hpp"

#include <algorithm>
#include <array>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <memory>
#include <unistd.h>

namespace wisteriahatch
{

namespace
{

// A level's name and its value in log4cplus.
struct level_name
{
    std::string_view name;
    log4cplus::LogLevel value;
};

// In the order of log_level.
constexpr std::array<level_name, 4> levels{{
    {"debug", log4cplus::DEBUG_LOG_LEVEL},
    {"info", log4cplus::INFO_LOG_LEVEL},
    {"warning", log4cplus::WARN_LOG_LEVEL},
    {"error", log4cplus::ERROR_LOG_LEVEL},
}};

// Never destroyed, so that events logged during process exit can use it.
output_queue& standard_output()
{
    static auto* const queue = new output_queue(STDOUT_FILENO);
    return *queue;
}

// Writes each line to standard output without blocking on its reader.
class standard_output_appender : public log4cplus::Appender
{
public:
    ~standard_output_appender() override
    {
        this->destructorImpl();
    }

    void close() override
    {
        this->closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        standard_output().write(this->formatEvent(event));
    }
};

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           std::any_of(value.begin(), value.end(),
                       [](unsigned char character)
                       {
                           return character <= ' ' || character == 0x7f ||
                                  character == '"' || character == '\\' ||
                                  character == '=';
                       });
}

// Appends one character of a quoted value. Control characters are escaped so
// that an event stays on one line.
void append_escaped(std::string& line, unsigned char character)
{
    constexpr std::string_view digits = "0123456789abcdef";
    switch (character)
    {
    case '"':
    case '\\':
        line += '\\';
        line += static_cast<char>(character);
        return;
    case '\n':
        line += "\\n";
        return;
    case '\r':
        line += "\\r";
        return;
    case '\t':
        line += "\\t";
        return;
    default:
        break;
    }
    if (character >= ' ' && character != 0x7f)
    {
        line += static_cast<char>(character);
        return;
    }
    line += "\\x";
    line += digits[character >> 4U];
    line += digits[character & 0xfU];
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
        append_escaped(line, static_cast<unsigned char>(character));
    line += '"';
}

}

std::string format_event(log_level level, std::string_view event,
                         std::initializer_list<log_field> fields)
{
    std::string line = "level=";
    line += levels.at(static_cast<std::size_t>(level)).name;
    line += " event=";
    append_value(line, event);
    for (const log_field& field : fields)
    {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    return line;
}

bool start_logging(std::string_view program, std::string_view level)
{
    const auto* const chosen = std::find_if(levels.begin(), levels.end(),
                                            [&](const level_name& entry)
                                            { return entry.name == level; });
    if (chosen == levels.end())
        return false;
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(new standard_output_appender);
    std::string pattern = "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z program=";
    pattern += program;
    pattern += " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(chosen->value);
    return true;
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    const log4cplus::LogLevel value =
        levels.at(static_cast<std::size_t>(level)).value;
    const log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(value))
        return;
    root.forcedLog(value, format_event(level, event, fields));
}

std::uint64_t dropped_log_lines()
{
    return standard_output().dropped();
}

}
