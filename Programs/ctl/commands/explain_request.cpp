#include "ctl/commands/command.hpp"
#include "ctl/commands/request_story.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>

namespace wisteriahatch::ctl
{

namespace
{

// Adds the lines of a log; returns false when it can't be read.
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
    for (std::size_t at = 1; at < context.arguments.size(); ++at)
    {
        const auto& path = context.arguments[at];
        if (read_log(path, records))
            continue;
        context.errors << path << ": can't be read (" << std::strerror(errno)
                       << "); give the path of a log\n";
        return exit_code::usage;
    }
    const request_story story(id, records);
    if (!story.is_found())
    {
        context.errors << "no line names the request \"" << id
                       << "\"; give the logs of all instances, and see "
                          "left_out in the lines around its time\n";
        return exit_code::refused;
    }
    for (const auto& line : story.lines())
        context.output << line << '\n';
    return exit_code::fine;
}

}
