#ifndef WISTERIAHATCH_TESTS_NET_POOL_FIXTURE_HPP
#define WISTERIAHATCH_TESTS_NET_POOL_FIXTURE_HPP

#include "net/loopback.hpp"
#include "net/upstream_pool.hpp"
#include "StandIns/silencer/route.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace wisteriahatch
{

constexpr std::size_t reply_limit = 1000;

// An upstream "u" on loopback behind a route that can be made silent, and a
// pool of two workers. "/hold" waits for the gate. Every target is answered
// with `answer`.
struct pool_fixture
{
    gate hold_gate;
    http_reply answer;
    std::mutex lock;
    std::vector<std::string> received;
    std::atomic<unsigned> running{0};
    std::atomic<unsigned> peak_running{0};
    std::atomic<unsigned> peers_gone{0};
    std::atomic<unsigned> handlers_called{0};
    worker_pool upstream_worker{1};
    http_server upstream{upstream_worker,
                         {.listen = any_loopback_port()},
                         [this](http_request request)
                         { return this->handle(std::move(request)); }};
    std::shared_ptr<route> path;
    worker_pool workers{2};
    std::shared_ptr<upstream_state> state = std::make_shared<upstream_state>(
        "u", "zone", std::chrono::steady_clock::now());
    std::optional<upstream_pool> pool;

    pool_fixture()
    {
        REQUIRE(this->upstream.start());
        this->path = std::make_shared<route>(this->upstream_worker.at(0),
                                             any_loopback_port(),
                                             this->upstream.endpoint());
        REQUIRE(this->path->start());
        this->upstream_worker.start();
        this->workers.start();
        this->create_pool({.max_reply_bytes = reply_limit}, 3);
    }

    ~pool_fixture()
    {
        this->hold_gate.is_open = true;
        this->workers.stop();
        this->upstream_worker.stop();
    }

    void create_pool(upstream_pool::options values, unsigned share)
    {
        this->pool.emplace(this->workers, values);
        this->set_share(share);
    }

    void set_share(unsigned share)
    {
        this->pool->set_upstreams({{"u",
                                    {.endpoint = this->path->listen(),
                                     .connection_share = share,
                                     .state = this->state}}});
    }

    asio::awaitable<http_reply> handle(http_request request)
    {
        {
            const std::scoped_lock guard(this->lock);
            this->received.push_back(request.body);
        }
        *request.on_peer_gone = [this] { ++this->peers_gone; };
        this->peak_running =
            std::max(this->peak_running.load(), ++this->running);
        if (request.target == "/hold")
            co_await this->hold_gate.wait();
        --this->running;
        co_return this->answer;
    }

    std::vector<std::string> received_bodies()
    {
        const std::scoped_lock guard(this->lock);
        return this->received;
    }

    std::size_t received_count()
    {
        return this->received_bodies().size();
    }

    static upstream_call make_call(const std::string& target,
                                   const std::string& body = "work")
    {
        upstream_request request;
        request.target = target;
        request.body = body;
        upstream_call call;
        call.replica = "u";
        call.request = std::make_shared<upstream_request>(std::move(request));
        call.deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        return call;
    }

    // Starts a call on a worker.
    std::future<upstream_result> start(upstream_call call,
                                       std::size_t worker = 0)
    {
        auto promise = std::make_shared<std::promise<upstream_result>>();
        auto answered = promise->get_future();
        asio::post(this->workers.at(worker),
                   [this, call = std::move(call), promise]
                   {
                       this->pool->start(
                           call,
                           [this, promise](upstream_result outcome)
                           {
                               ++this->handlers_called;
                               promise->set_value(std::move(outcome));
                           });
                   });
        return answered;
    }

    upstream_result run(upstream_call call)
    {
        return this->start(std::move(call)).get();
    }

    // Starts calls to "/hold", each of which occupies a connection, and waits
    // until the upstream has received them.
    std::vector<std::future<upstream_result>> hold(unsigned count)
    {
        std::vector<std::future<upstream_result>> calls;
        const auto before = this->received_count();
        for (unsigned number = 0; number < count; ++number)
            calls.push_back(this->start(make_call("/hold")));
        REQUIRE(wait_until(
            [&] { return this->received_count() == before + count; }));
        return calls;
    }

    unsigned release(std::vector<std::future<upstream_result>>& calls)
    {
        this->hold_gate.is_open = true;
        unsigned answered = 0;
        for (auto& call : calls)
            answered += call.get() ? 1 : 0;
        this->hold_gate.is_open = false;
        return answered;
    }
};

}

#endif
