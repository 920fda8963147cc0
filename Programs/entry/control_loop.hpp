#ifndef WISTERIAHATCH_ENTRY_CONTROL_LOOP_HPP
#define WISTERIAHATCH_ENTRY_CONTROL_LOOP_HPP

#include "core/process/directory.hpp"
#include "core/process/document_store.hpp"
#include "core/process/membership.hpp"
#include "core/process/pause_detector.hpp"
#include "net/upstream_pool.hpp"
#include "peers/peer_client.hpp"
#include "rpc/peer_rpc.hpp"
#include "serving_view.hpp"
#include "settings.hpp"
#include "telemetry/metrics.hpp"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriahatch
{

// The control thread: owns the document store, the membership table and the
// directory, watches the platform, exchanges messages with other instances and
// publishes the serving view. Every method runs on `control`, except stop() and
// those marked as thread-safe.
class control_loop
{
public:
    struct options
    {
        const settings* values = nullptr;
        boost::asio::io_context* control = nullptr;
        published_view* views = nullptr;
        upstream_pool* upstreams = nullptr;
        metrics* measures = nullptr;
        pause_detector* pauses = nullptr;
        incarnation self;
        // Called when a pause of the process has ended.
        std::function<void()> handle_pause;
    };

    // State that GET /status reports.
    struct status
    {
        document_key document;
        std::uint64_t directory_revision = 0;
        std::vector<member_record> members;
        bool is_reader = false;
    };

    explicit control_loop(options opts);

    // Starts joining, watching and gossiping.
    void start();
    // Makes this instance not ready and announces to its peers that it is
    // leaving. Thread-safe.
    void set_leaving();
    // Blocks until the running calls to peers have ended. Must be called from
    // another thread before the control thread stops.
    void stop();

    // True when this instance may serve callers. Thread-safe.
    bool is_ready() const;
    // Returns the newest status; null before start() has run. Thread-safe.
    std::shared_ptr<const status> latest_status() const;
    // Answers a JSON-RPC message from another instance.
    std::string handle_peer_message(const std::string& message);

private:
    void add_peer_methods();
    std::string answer_gossip(const std::string& parameters);
    void apply(const std::vector<document_action>& actions);
    void act(const request_peer_key& action);
    void act(const fetch_document& action);
    void act(const read_configuration& action);
    void act(const activate_document& action);
    void report(const document_outcome& outcome, const std::string& source);
    void exchange(const membership::exchange& next);
    void handle_gossip_answer(const std::string& address,
                              const result<std::string>& answer);
    void fetch_directory(const std::string& peer);
    void handle_directory(directory next);
    void publish_view();
    void publish_status();
    void update_members();
    std::vector<std::string> known_peers() const;
    boost::asio::awaitable<void> read_document(bool is_watch);
    boost::asio::awaitable<void> watch_directory();
    boost::asio::awaitable<void> run_timer();

    options config;
    document_store documents;
    membership members;
    directory_ptr current_directory;
    peer_client peers;
    rpc_server peer_methods;
    std::uint64_t document_revision = 0;
    std::uint64_t members_generation = 0;
    std::atomic<bool> ready{false};
    std::atomic<bool> leaving{false};
    published<status> published_status;
};

}

#endif
