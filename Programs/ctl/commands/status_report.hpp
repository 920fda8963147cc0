#ifndef WISTERIAHATCH_CTL_COMMANDS_STATUS_REPORT_HPP
#define WISTERIAHATCH_CTL_COMMANDS_STATUS_REPORT_HPP

#include "core/base/error.hpp"
#include "ctl/commands/command.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace wisteriahatch::ctl
{

// Effects of the signals of upstreams since an instance started.
struct signal_counts
{
    std::uint64_t pauses = 0;
    std::uint64_t left = 0;
    std::uint64_t withheld = 0;
};

// Status of one instance, as its admin port reports it.
struct instance_status
{
    // Address that the status was requested from.
    std::string admin_address;
    // Why there is no status; empty if there is one.
    std::string error;
    // Address at which the instance serves its peers.
    std::string address;
    bool is_ready = false;
    // Document in force; 0 and empty if there is none.
    std::uint64_t document_serial = 0;
    std::string document_digest;
    // Reported by gateways only.
    std::optional<signal_counts> signals;
};

// Parses the body of a /status reply, which may contain arbitrary bytes.
instance_status read_status(std::string admin_address, std::string_view body);

// Prints one line per instance and a summary. Returns refused unless every
// instance answered, is ready, and has the same document in force.
exit_code print_statuses(std::span<const instance_status> statuses,
                         std::ostream& output);

}

#endif
