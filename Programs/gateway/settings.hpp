#ifndef WISTERIAHATCH_GATEWAY_SETTINGS_HPP
#define WISTERIAHATCH_GATEWAY_SETTINGS_HPP

#include "core/base/error.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahatch
{

// The settings of one gateway process, from its INI file.
struct gateway_settings
{
    std::string name = "gateway";
    std::string failure_domain;
    boost::asio::ip::tcp::endpoint caller_address;
    boost::asio::ip::tcp::endpoint ready_address;
    // Absent where metrics are not served.
    std::optional<boost::asio::ip::tcp::endpoint> metrics_address;
    // Where this instance listens for its peers; absent where there are none.
    std::optional<boost::asio::ip::tcp::endpoint> peer_address;
    // Peer addresses of the instances that are contacted first.
    std::vector<std::string> seeds;
    boost::asio::ip::tcp::endpoint store_address;
    // Longest time from SIGTERM to the end of the process.
    std::chrono::milliseconds shutdown_grace{5000};
    // Time after which an upstream that leaves must get no requests.
    std::chrono::milliseconds drain_bound{3000};
    // Repeats that a service tolerates for each request to it, over all
    // instances.
    double repeat_ratio = 0.1;
    // Repeats beyond the ratio that a service tolerates in a window, over all
    // instances.
    double repeat_slack = 10;
    // Length of the windows in which a service's repeats are counted.
    std::chrono::milliseconds repeat_window{10000};
    // Time from the operator's request to evacuate a failure domain until no
    // request reaches it; absent where evacuations are not followed.
    std::optional<std::chrono::milliseconds> evacuation_apply_time;
    // In each second a cold upstream gets at most its service's warm-up rate
    // times `warm_up_overload`, and `warm_up_slack` requests more, from all
    // instances. Nothing is limited unless both are set.
    std::optional<double> warm_up_overload;
    std::optional<double> warm_up_slack;
    // Whether requests are refused by their cost to callers while upstreams
    // have too little room.
    bool has_admission = false;
    // Memory and descriptors of the machine; 0 where they are not known.
    std::size_t memory_mb = 0;
    std::size_t descriptors = 0;
    std::string log_level = "info";

    // Whether the operator's requests to evacuate failure domains are followed.
    bool follows_evacuations() const;
};

// Reads the file. The error invalid_settings lists every key that is missing or
// malformed. Unknown keys and empty values are ignored, so that a new field of
// the platform does not prevent a start.
result<gateway_settings> read_gateway_settings(const std::string& path);

}

#endif
