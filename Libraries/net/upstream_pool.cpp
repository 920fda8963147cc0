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

// The upstreams as given by one call of set_upstreams.
struct directory_view
{
    // Counts the calls of set_upstreams.
    std::uint64_t generation = 0;
    std::map<std::string, upstream_address> upstreams;
};

using directory_view_ptr = std::shared_ptr<const directory_view>;

// A call as seen by the worker that started it.
struct started_call
{
    std::size_t owner = 0;
    upstream_handler handler;
};

using client_ptr = std::shared_ptr<upstream_client>;

// What belongs to one worker; only that worker touches it.
struct worker_part
{
    directory_view_ptr view = std::make_shared<directory_view>();
    // Calls that this worker started, by id.
    std::unordered_map<std::uint64_t, started_call> started;
    std::uint64_t last_call = 0;
    // Upstreams that this worker owns, by name.
    std::map<std::string, client_ptr> clients;
    // Calls to the upstreams of this worker, by id.
    std::unordered_map<std::uint64_t, client_ptr> submitted;
};

}

class upstream_pool::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(worker_pool& pool, options chosen)
        : workers(pool)
        , values(std::move(chosen))
        , parts(pool.size())
    {
    }

    void set_upstreams(std::map<std::string, upstream_address> upstreams)
    {
        const auto view = std::make_shared<const directory_view>(
            directory_view{++this->generations, std::move(upstreams)});
        this->on_each_worker([view](implementation& self, std::size_t worker)
                             { self.adopt(worker, view); });
    }

    upstream_call_id start(upstream_call call, upstream_handler handler)
    {
        const auto caller = worker_pool::current();
        const auto owner = this->owner_of(call.replica);
        auto& part = this->parts[caller];
        // The remainder names the worker that gets the answer.
        const call_id id{++part.last_call * this->parts.size() + caller};
        part.started.emplace(id.value, started_call{owner, std::move(handler)});
        const auto found = part.view->upstreams.find(call.replica);
        if (found == part.view->upstreams.end())
        {
            this->answer(id, make_unknown(call.replica));
            return {id.value};
        }
        auto task = std::make_shared<upstream_task>();
        task->id = id;
        task->call = std::move(call);
        task->state = found->second.state;
        task->state->record_start(std::chrono::steady_clock::now());
        asio::dispatch(
            this->workers.at(owner),
            [self = this->shared_from_this(), owner, view = part.view, task]
            { self->submit(owner, view, task); });
        return {id.value};
    }

    void cancel(upstream_call_id call)
    {
        auto& started = this->parts[worker_pool::current()].started;
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
                for (const auto& [name, client] : self.parts[worker].clients)
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
                auto& part = self.parts[worker];
                part.started.clear();
                for (const auto& [name, client] :
                     std::exchange(part.clients, {}))
                    client->retire();
            });
    }

private:
    template <class Action>
    void on_each_worker(Action action)
    {
        for (std::size_t worker = 0; worker < this->parts.size(); ++worker)
            asio::post(this->workers.at(worker),
                       [self = this->shared_from_this(), worker, action]
                       { action(*self, worker); });
    }

    std::size_t owner_of(const std::string& replica) const
    {
        return XXH3_64bits(replica.data(), replica.size()) % this->parts.size();
    }

    static upstream_failure make_unknown(const std::string& replica)
    {
        upstream_failure unknown;
        unknown.kind = error_kind::connect_failed;
        unknown.message = "the instance list holds no address of " + replica;
        return unknown;
    }

    // Makes the clients of a worker agree with the view.
    void adopt(std::size_t worker, const directory_view_ptr& view)
    {
        auto& part = this->parts[worker];
        if (view->generation <= part.view->generation)
            return;
        part.view = view;
        auto old = std::exchange(part.clients, {});
        for (const auto& [name, address] : view->upstreams)
        {
            if (this->owner_of(name) != worker)
                continue;
            auto& client = part.clients[name];
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

    void submit(std::size_t owner, const directory_view_ptr& view,
                const std::shared_ptr<upstream_task>& task)
    {
        // The caller's worker may have seen a new view first.
        this->adopt(owner, view);
        auto& part = this->parts[owner];
        const auto found = part.clients.find(task->call.replica);
        if (found == part.clients.end())
        {
            task->state->record_cancel();
            this->answer(task->id, make_unknown(task->call.replica));
            return;
        }
        const auto client = found->second;
        part.submitted.emplace(task->id.value, client);
        client->submit(task);
    }

    void cancel_submitted(std::size_t owner, call_id id)
    {
        auto& submitted = this->parts[owner].submitted;
        const auto found = submitted.find(id.value);
        if (found == submitted.end())
            return;
        const auto client = std::move(found->second);
        submitted.erase(found);
        client->cancel(id);
    }

    void finish(std::size_t owner, call_id id, upstream_result outcome)
    {
        this->parts[owner].submitted.erase(id.value);
        this->answer(id, std::move(outcome));
    }

    // Posts the answer to the worker that started the call.
    void answer(call_id id, upstream_result outcome)
    {
        const auto caller = id.value % this->parts.size();
        asio::post(this->workers.at(caller),
                   [self = this->shared_from_this(), caller, id,
                    outcome = std::move(outcome)]() mutable
                   {
                       auto& started = self->parts[caller].started;
                       auto found = started.extract(id.value);
                       if (!found.empty())
                           found.mapped().handler(std::move(outcome));
                   });
    }

    worker_pool& workers;
    options values;
    std::vector<worker_part> parts;
    std::atomic<std::uint64_t> generations{0};
};

upstream_pool::upstream_pool(worker_pool& workers, options values)
    : state(std::make_shared<implementation>(workers, std::move(values)))
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
