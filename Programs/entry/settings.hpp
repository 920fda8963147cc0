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

// What one process knows from its own INI file. Everything that is the same
// in trial and in production is in the document instead.
struct settings
{
    std::string name;
    std::string environment;
    std::string failure_domain;
    boost::asio::ip::tcp::endpoint caller_address;
    boost::asio::ip::tcp::endpoint admin_address;
    boost::asio::ip::tcp::endpoint peer_address;
    std::size_t workers = 2;
    // Absent in tests that load a document from peers only.
    std::optional<boost::asio::ip::tcp::endpoint> platform_address;
    // Peer addresses of instances to ask first.
    std::vector<std::string> seeds;
    service_state::options policy;
    // Time from SIGTERM to closing the listening socket.
    std::chrono::milliseconds drain_grace{5000};
    std::string log_level = "info";
};

// Reads the file. invalid_settings names the section, the key and the remedy.
result<settings> read_settings(const std::string& path);

}

#endif
