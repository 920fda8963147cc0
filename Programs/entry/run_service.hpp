#ifndef WISTERIAHATCH_ENTRY_RUN_SERVICE_HPP
#define WISTERIAHATCH_ENTRY_RUN_SERVICE_HPP

#include "core/process/pause_detector.hpp"
#include "core/request/run_registry.hpp"
#include "core/request/wire.hpp"
#include "net/upstream_pool.hpp"
#include "telemetry/metrics.hpp"
#include "worker_context.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Serves non-idempotent requests: carries out the actions of the run registry
// on worker 0, and forwards requests whose run id another instance issued to
// that instance.
class run_service
{
public:
    struct options
    {
        worker_pool* workers = nullptr;
        std::vector<worker_context>* contexts = nullptr;
        upstream_pool* upstreams = nullptr;
        metrics* measures = nullptr;
        const pause_detector* pauses = nullptr;
        run_registry::options registry;
        std::string failure_domain;
    };

    explicit run_service(options opts);
    ~run_service();

    // Starts the registry's timer on worker 0.
    void start();
    // Waits for the forwarding threads. Call before the workers stop.
    void stop();

    // Issues a run id. Callable on any worker.
    boost::asio::awaitable<result<std::string>> issue(std::string service);
    // Runs or forwards a caller's request. Callable on any worker.
    boost::asio::awaitable<result<run_answer>> run(run_request request,
                                                   time_point received);
    // Runs a request forwarded by another instance; blocks the calling thread,
    // which must not be a worker. Takes and returns JSON.
    std::string run_forwarded(const std::string& parameters);
    // Cancels the runs that have not been sent yet. Called when a pause of the
    // process has ended.
    void cancel_unsent();

private:
    // A caller that waits for an answer on worker 0.
    struct waiter
    {
        // Never expires; cancelled when the answer is set.
        boost::asio::steady_timer answered;
        run_answer answer;
        bool has_answer = false;
    };

    // Looks up the class and sets the deadline; errors as in design section 11.
    result<run_submission> make_submission(const run_request& request,
                                           const run_id& id,
                                           time_point received);
    bool was_issued(const run_id& id);
    boost::asio::awaitable<run_answer> submit(run_submission submission);
    boost::asio::awaitable<run_answer> forward(run_request request, run_id id,
                                               time_point deadline);
    void apply(const std::vector<run_action>& actions);
    void act(const dispatch_run& action);
    void act(const answer_run& action);
    upstream_state* choose_replica(const dispatch_run& action);
    upstream_call make_call(const dispatch_run& action,
                            const std::string& replica);
    void finish(const run_id& id, unsigned attempt,
                const upstream_result& outcome);
    void arm_timer();

    options config;
    // Guards the registry, which not only worker 0 uses: any worker may issue a
    // run id, and the worker of an upstream confirms a send just before the
    // first byte is written.
    std::mutex registry_mutex;
    run_registry registry;
    std::uint64_t next_waiter = 1;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
    // Replicas already tried for each run, by the sequence number of its id, so
    // that a later attempt uses another one.
    std::map<std::uint64_t, std::set<std::string, std::less<>>> tried_replicas;
    boost::asio::steady_timer timer;
    boost::asio::thread_pool forwarders;
};

}

#endif
