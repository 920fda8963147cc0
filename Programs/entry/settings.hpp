#ifndef WISTERIAHATCH_ENTRY_SETTINGS_HPP
#define WISTERIAHATCH_ENTRY_SETTINGS_HPP

#include "core/base/error.hpp"
#include "core/process/service_state.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Settings of one process, read from its INI file. Configuration that is the
// same in the trial and production environments is in the document instead.
struct settings
{
    std::string name;
    std::string environment;
    std::string failure_domain;
    boost::asio::ip::tcp::endpoint caller_address;
    boost::asio::ip::tcp::endpoint admin_address;
    boost::asio::ip::tcp::endpoint peer_address;
    std::size_t workers = 2;
    // Not set in tests that load the document only from peers.
    std::optional<boost::asio::ip::tcp::endpoint> platform_address;
    // Peer addresses of the instances to contact first.
    std::vector<std::string> seeds;
    service_state::options policy;
    // Time from SIGTERM to closing the listening socket.
    std::chrono::milliseconds drain_grace{5000};
    // Memory and descriptors of the machine; 0 where they are not known.
    std::size_t memory_mb = 0;
    std::size_t descriptors = 0;
    std::string log_level = "info";
};

// Reads the settings file. The message of an invalid_settings error names the
// section and the key and says how to correct the value.
result<settings> read_settings(const std::string& path);

}

#endif
