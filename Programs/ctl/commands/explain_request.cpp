#include "ctl/commands/command.hpp"
#include "ctl/commands/request_timeline.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>

namespace wisteriahatch::ctl
{

namespace
{

// Appends the records of a log file; returns false when it can't be read.
bool read_log(const std::string& path, std::vector<log_record>& records)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line))
        if (auto record = parse_log_line(line, path))
            records.push_back(std::move(*record));
    return file.eof();
}

}

exit_code run_explain_request(const command_context& context)
{
    const auto& id = context.arguments[0];
    std::vector<log_record> records;
    for (std::size_t index = 1; index < context.arguments.size(); ++index)
    {
        const auto& path = context.arguments[index];
        if (read_log(path, records))
            continue;
        context.errors << path << ": can't be read (" << std::strerror(errno)
                       << "); give the path of a log\n";
        return exit_code::usage_error;
    }
    const request_timeline timeline(id, records);
    if (!timeline.is_found())
    {
        context.errors << "no log line has the request id \"" << id
                       << "\"; pass the logs of all instances, and check "
                          "left_out in the lines around its time for lines "
                          "dropped by the rate limit\n";
        return exit_code::refused;
    }
    for (const auto& line : timeline.lines())
        context.output << line << '\n';
    return exit_code::success;
}

}
