#ifndef WISTERIAHATCH_ENTRY_STATUS_PROBER_HPP
#define WISTERIAHATCH_ENTRY_STATUS_PROBER_HPP

#include "net/upstream_pool.hpp"
#include "net/worker_pool.hpp"
#include "worker_context.hpp"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Probes the status of the replicas over the connections of the upstream pool,
// so that the start and end of a drain and a new index version are noticed
// without query traffic. Runs on worker 0.
class status_prober
{
public:
    // Each replica is probed once in this time.
    static constexpr std::chrono::seconds probe_interval{15};
    // Time between two steps; draining replicas are probed in every step.
    static constexpr std::chrono::milliseconds step_interval{1000};

    struct options
    {
        worker_pool* workers = nullptr;
        std::vector<worker_context>* contexts = nullptr;
        upstream_pool* upstreams = nullptr;
    };

    explicit status_prober(options opts);

    void start();

private:
    void run_step();
    void probe(const std::string& replica);

    options config;
    boost::asio::steady_timer timer;
    std::size_t steps = 0;
};

}

#endif
