#ifndef WISTERIAHATCH_ENTRY_ENTRY_PROCESS_HPP
#define WISTERIAHATCH_ENTRY_ENTRY_PROCESS_HPP

#include "admin_api.hpp"
#include "control_loop.hpp"
#include "core/connection/caller_memory.hpp"
#include "core/process/pause_detector.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"
#include "net/worker_pool.hpp"
#include "query_api.hpp"
#include "run_service.hpp"
#include "settings.hpp"
#include "status_prober.hpp"
#include "telemetry/metrics.hpp"
#include "worker_context.hpp"

#include <boost/asio/thread_pool.hpp>
#include <memory>
#include <random>
#include <vector>

namespace wisteriahatch
{

// One entry instance: owns the objects that live as long as the process, serves
// until SIGTERM or SIGINT, then shuts down after all running requests have been
// answered.
class entry_process
{
public:
    explicit entry_process(settings initial_settings);
    ~entry_process();

    // Returns after a graceful shutdown, or with the error that prevented the
    // start.
    result<void> run();

private:
    boost::asio::awaitable<http_reply> handle_caller(http_request request);
    boost::asio::awaitable<http_reply> issue_run_id(http_request request);
    boost::asio::awaitable<http_reply> handle_run(http_request request);
    boost::asio::awaitable<http_reply> handle_peer(http_request request);
    boost::asio::awaitable<std::string>
    serve_forwarded_run(std::string message);
    // Returns the options of a server that shares the account of the memory
    // held for callers.
    http_server::options
    make_server_options(const boost::asio::ip::tcp::endpoint& listen,
                        std::size_t max_connections) const;
    boost::asio::awaitable<http_reply> handle_admin(http_request request);
    void wait_for_signal();
    void drain();

    settings values;
    incarnation self;
    metrics measures;
    pause_detector pauses;
    published_view views;
    // The control thread also serves the admin port and the peer port.
    worker_pool control_worker;
    worker_pool workers;
    std::vector<worker_context> contexts;
    upstream_pool upstreams;
    control_loop control;
    query_api queries;
    run_service runs;
    status_prober prober;
    admin_api admin;
    rpc_server run_methods;
    boost::asio::thread_pool forward_threads;
    caller_budget budget;
    std::shared_ptr<caller_memory> memory;
    http_server caller_server;
    http_server admin_server;
    http_server peer_server;
};

}

#endif
