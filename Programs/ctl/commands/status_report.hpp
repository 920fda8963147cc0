#ifndef WISTERIAHATCH_CTL_COMMANDS_STATUS_REPORT_HPP
#define WISTERIAHATCH_CTL_COMMANDS_STATUS_REPORT_HPP

#include "core/base/error.hpp"
#include "ctl/commands/command.hpp"

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace wisteriahatch::ctl
{

// What one instance says about itself.
struct instance_status
{
    // Admin address that was asked.
    std::string asked;
    // Why there is no status; empty if there is one.
    std::string fault;
    // Address at which the instance serves.
    std::string address;
    bool is_ready = false;
    // Document in force; 0 and empty if there is none.
    std::uint64_t document_serial = 0;
    std::string document_digest;
};

// Reads the body of a /status reply, which may hold any bytes.
instance_status read_status(std::string asked, std::string_view body);

// Prints one line an instance and a summary. Refused if an instance has a
// fault, is not ready, or has another document than the others.
exit_code print_statuses(std::span<const instance_status> statuses,
                         std::ostream& output);

}

#endif
