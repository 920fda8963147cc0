#ifndef WISTERIAHATCH_GATEWAY_GATEWAY_PROCESS_HPP
#define WISTERIAHATCH_GATEWAY_GATEWAY_PROCESS_HPP

#include "core/connection/caller_memory.hpp"
#include "forwarder.hpp"
#include "gateway_state.hpp"
#include "net/configuration_source.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"
#include "net/worker_pool.hpp"
#include "pause_monitor.hpp"
#include "peer_exchange.hpp"
#include "peer_source.hpp"
#include "settings.hpp"
#include "source_watcher.hpp"
#include "telemetry/forwarding_metrics.hpp"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

namespace wisteriahatch
{

// One gateway instance: owns the objects that live as long as the process,
// serves until SIGTERM or SIGINT, then shuts down after its running requests
// have ended or the shutdown grace has passed.
class gateway_process
{
public:
    // `path` is the settings file, which is read again when it changes.
    gateway_process(std::string path, gateway_settings initial_settings,
                    std::unique_ptr<configuration_source> source,
                    forwarding_header_names names);
    ~gateway_process();

    // Returns after a graceful shutdown, or with the error that prevented the
    // start.
    result<void> run();

private:
    boost::asio::awaitable<http_reply> answer_ready(http_request request);
    boost::asio::awaitable<http_reply> answer_peer(http_request request);
    http_limits read_limits() const;
    boost::asio::awaitable<http_reply> answer_metrics(http_request request);
    // Sets the gauges from the current state.
    // Answers GET /status of the metrics address for wisteriahatch-ctl.
    http_reply make_status() const;
    void refresh_gauges();
    void refresh_room();
    bool is_ready() const;
    void watch_settings();
    // Returns the options of a server that shares the account of the memory
    // held for callers.
    http_server::options
    make_server_options(const boost::asio::ip::tcp::endpoint& listen,
                        std::size_t max_connections) const;
    http_server::options make_caller_options();
    // Reads the settings file again and applies the settings that may change
    // while the process runs.
    void reload(const std::string& cause);
    void handle_pause(duration length);
    // Divides connections to upstreams and the repeat budget among the
    // instances of the fleet.
    void set_fleet_size(const fleet_size& size);
    // Grants the reserve of repeats once a window has passed since the start.
    void arm_reserve_timer();
    // Logs each second how this instance uses the upstreams with a rate limit.
    void watch_rate_limits();
    void drain();
    // Waits until no request of a caller is running, but not after `end`.
    void wait_for_requests(time_point end) const;

    std::string settings_path;
    gateway_settings settings;
    caller_budget budget;
    forwarding_metrics measures;
    std::unique_ptr<configuration_source> source;
    std::shared_ptr<const upstream_dialect> dialect;
    // One thread: an instance has a fraction of a core.
    worker_pool workers{1};
    time_point started;
    fleet_size fleet;
    gateway_state state;
    upstream_pool upstreams;
    source_watcher watcher;
    peer_exchange peers;
    peer_source reader;
    forwarder requests;
    std::shared_ptr<caller_memory> memory;
    http_server caller_server;
    http_server ready_server;
    // Absent where there are no peers.
    std::optional<http_server> peer_server;
    // Absent where metrics are not served.
    std::optional<http_server> metrics_server;
    pause_monitor pauses;
    boost::asio::signal_set reload_signal;
    boost::asio::steady_timer reload_timer;
    boost::asio::steady_timer reserve_timer;
    boost::asio::steady_timer rate_limit_timer;
    std::filesystem::file_time_type settings_write_time;
    std::atomic<std::chrono::milliseconds> shutdown_grace;
    std::atomic<bool> is_draining{false};
};

}

#endif
