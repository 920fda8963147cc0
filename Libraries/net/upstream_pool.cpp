#include "net/upstream_pool.hpp"

#include "net/upstream_client.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <unordered_map>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace wisteriahatch
{

namespace
{

// The set of upstreams from one call of set_upstreams.
struct upstream_snapshot
{
    // Number of the call of set_upstreams; later calls have higher numbers.
    std::uint64_t generation = 0;
    std::map<std::string, upstream_address> upstreams;
};

using upstream_snapshot_ptr = std::shared_ptr<const upstream_snapshot>;

// A call that has not ended, as stored on the worker that started it.
struct started_call
{
    std::size_t owner = 0;
    upstream_handler handler;
};

using client_ptr = std::shared_ptr<upstream_client>;

// State that only one worker reads and writes.
struct worker_state
{
    upstream_snapshot_ptr snapshot = std::make_shared<upstream_snapshot>();
    // Calls that this worker started, by id.
    std::unordered_map<std::uint64_t, started_call> started;
    std::uint64_t last_call_number = 0;
    // Upstreams that this worker owns, by name.
    std::map<std::string, client_ptr> clients;
    // Limits the replies that this worker receives.
    std::shared_ptr<reply_memory> memory;
    // Calls to the upstreams of this worker, by id.
    std::unordered_map<std::uint64_t, client_ptr> submitted;
};

}

class upstream_pool::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(worker_pool& pool, options pool_options)
        : workers(pool)
        , values(std::move(pool_options))
        , worker_states(pool.size())
    {
        const auto share = this->values.max_total_reply_bytes / pool.size();
        for (auto& each : this->worker_states)
            each.memory = std::make_shared<reply_memory>(share);
    }

    void set_upstreams(std::map<std::string, upstream_address> upstreams)
    {
        const auto snapshot = std::make_shared<const upstream_snapshot>(
            upstream_snapshot{++this->last_generation, std::move(upstreams)});
        this->on_each_worker(
            [snapshot](implementation& self, std::size_t worker)
            { self.apply_snapshot(worker, snapshot); });
    }

    upstream_call_id start(upstream_call call, upstream_handler handler)
    {
        const auto caller = worker_pool::current();
        const auto owner = this->owner_of(call.replica);
        auto& local = this->worker_states[caller];
        // The id modulo the number of workers is the index of this worker,
        // which post_result() needs.
        const call_id id{++local.last_call_number * this->worker_states.size() +
                         caller};
        local.started.emplace(id.value,
                              started_call{owner, std::move(handler)});
        const auto found = local.snapshot->upstreams.find(call.replica);
        if (found == local.snapshot->upstreams.end())
        {
            this->post_result(id, make_unknown_replica_failure(call.replica));
            return {id.value};
        }
        auto task = std::make_shared<upstream_task>();
        task->id = id;
        task->call = std::move(call);
        task->state = found->second.state;
        task->state->record_start(std::chrono::steady_clock::now());
        asio::dispatch(this->workers.at(owner),
                       [self = this->shared_from_this(), owner,
                        snapshot = local.snapshot, task]
                       { self->submit(owner, snapshot, task); });
        return {id.value};
    }

    void cancel(upstream_call_id call)
    {
        auto& started = this->worker_states[worker_pool::current()].started;
        const auto found = started.find(call.value);
        if (found == started.end())
            return;
        const auto owner = found->second.owner;
        started.erase(found);
        asio::dispatch(this->workers.at(owner),
                       [self = this->shared_from_this(), owner, call]
                       { self->cancel_submitted(owner, call_id{call.value}); });
    }

    void close_idle()
    {
        this->on_each_worker(
            [](implementation& self, std::size_t worker)
            {
                for (const auto& [name, client] :
                     self.worker_states[worker].clients)
                    client->close_idle();
            });
    }

    // Each worker destroys its own clients, because their sockets belong to
    // its io_context.
    void shut_down()
    {
        this->on_each_worker(
            [](implementation& self, std::size_t worker)
            {
                auto& local = self.worker_states[worker];
                local.started.clear();
                for (const auto& [name, client] :
                     std::exchange(local.clients, {}))
                    client->retire();
            });
    }

private:
    template <class Action>
    void on_each_worker(Action action)
    {
        for (std::size_t worker = 0; worker < this->worker_states.size();
             ++worker)
            asio::post(this->workers.at(worker),
                       [self = this->shared_from_this(), worker, action]
                       { action(*self, worker); });
    }

    std::size_t owner_of(const std::string& replica) const
    {
        return XXH3_64bits(replica.data(), replica.size()) %
               this->worker_states.size();
    }

    static upstream_failure
    make_unknown_replica_failure(const std::string& replica)
    {
        upstream_failure failure;
        failure.kind = error_kind::connect_failed;
        failure.message =
            "the instance list contains no address for " + replica;
        return failure;
    }

    // Creates, updates and retires the clients of a worker to match the
    // snapshot, unless the worker already has a newer one.
    void apply_snapshot(std::size_t worker,
                        const upstream_snapshot_ptr& snapshot)
    {
        auto& local = this->worker_states[worker];
        if (snapshot->generation <= local.snapshot->generation)
            return;
        local.snapshot = snapshot;
        auto old = std::exchange(local.clients, {});
        for (const auto& [name, address] : snapshot->upstreams)
        {
            if (this->owner_of(name) != worker)
                continue;
            auto& client = local.clients[name];
            const auto found = old.find(name);
            if (found != old.end() &&
                found->second->endpoint() == address.endpoint)
            {
                client = std::move(found->second);
                old.erase(found);
                client->update(address);
                continue;
            }
            client = std::make_shared<upstream_client>(
                this->workers.at(worker), name, address, this->values,
                local.memory,
                [self = this->weak_from_this(), worker](call_id id,
                                                        upstream_result outcome)
                {
                    if (const auto pool = self.lock())
                        pool->finish(worker, id, std::move(outcome));
                });
        }
        for (const auto& [name, client] : old)
            client->retire();
    }

    void submit(std::size_t owner, const upstream_snapshot_ptr& snapshot,
                const std::shared_ptr<upstream_task>& task)
    {
        // The caller's worker may have received a newer snapshot first.
        this->apply_snapshot(owner, snapshot);
        auto& local = this->worker_states[owner];
        const auto found = local.clients.find(task->call.replica);
        if (found == local.clients.end())
        {
            task->state->record_cancel();
            this->post_result(task->id,
                              make_unknown_replica_failure(task->call.replica));
            return;
        }
        const auto client = found->second;
        local.submitted.emplace(task->id.value, client);
        client->submit(task);
    }

    void cancel_submitted(std::size_t owner, call_id id)
    {
        auto& submitted = this->worker_states[owner].submitted;
        const auto found = submitted.find(id.value);
        if (found == submitted.end())
            return;
        const auto client = std::move(found->second);
        submitted.erase(found);
        client->cancel(id);
    }

    void finish(std::size_t owner, call_id id, upstream_result outcome)
    {
        this->worker_states[owner].submitted.erase(id.value);
        this->post_result(id, std::move(outcome));
    }

    // Passes the result to the handler on the worker that started the call.
    void post_result(call_id id, upstream_result outcome)
    {
        const auto caller = id.value % this->worker_states.size();
        asio::post(this->workers.at(caller),
                   [self = this->shared_from_this(), caller, id,
                    outcome = std::move(outcome)]() mutable
                   {
                       auto& started = self->worker_states[caller].started;
                       auto found = started.extract(id.value);
                       if (!found.empty())
                           found.mapped().handler(std::move(outcome));
                   });
    }

    worker_pool& workers;
    options values;
    std::vector<worker_state> worker_states;
    std::atomic<std::uint64_t> last_generation{0};
};

upstream_pool::upstream_pool(worker_pool& workers, options opts)
    : state(std::make_shared<implementation>(workers, std::move(opts)))
{
}

upstream_pool::~upstream_pool()
{
    this->state->shut_down();
}

void upstream_pool::set_upstreams(
    std::map<std::string, upstream_address> upstreams)
{
    this->state->set_upstreams(std::move(upstreams));
}

upstream_call_id upstream_pool::start(upstream_call call,
                                      upstream_handler handler)
{
    return this->state->start(std::move(call), std::move(handler));
}

void upstream_pool::cancel(upstream_call_id call)
{
    this->state->cancel(call);
}

void upstream_pool::close_idle()
{
    this->state->close_idle();
}

}
