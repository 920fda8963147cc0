#include "status_prober.hpp"

#include <boost/asio/post.hpp>

namespace wisteriahatch
{

namespace
{

constexpr std::size_t prober_worker = 0;
// Below the priority of calls for queries and runs, so that a probe never
// delays one.
constexpr unsigned lowest_priority = 3;

}

status_prober::status_prober(options opts)
    : config(opts)
    , timer(opts.workers->at(prober_worker))
{
}

void status_prober::start()
{
    boost::asio::post(this->config.workers->at(prober_worker),
                      [this] { this->run_step(); });
}

void status_prober::run_step()
{
    constexpr std::size_t steps_per_interval = probe_interval / step_interval;
    const auto& view = (*this->config.contexts)[prober_worker].view.current();
    if (view != nullptr)
    {
        std::size_t position = 0;
        for (const auto& [name, state] : *view->upstreams)
        {
            const bool is_due = position++ % steps_per_interval ==
                                this->steps % steps_per_interval;
            if (is_due || state->is_draining())
                this->probe(name);
        }
    }
    ++this->steps;
    this->timer.expires_after(step_interval);
    this->timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure)
                this->run_step();
        });
}

void status_prober::probe(const std::string& replica)
{
    upstream_request request;
    request.target = "/status";
    upstream_call call;
    call.replica = replica;
    call.request = std::make_shared<upstream_request>(std::move(request));
    call.deadline = std::chrono::steady_clock::now() + step_interval;
    call.priority = lowest_priority;
    // The pool records the status headers of the reply.
    this->config.upstreams->start(std::move(call),
                                  [](const upstream_result&) {});
}

}
