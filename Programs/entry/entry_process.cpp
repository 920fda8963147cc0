#include "entry_process.hpp"

#include "core/request/wire.hpp"
#include "net/http_client.hpp"
#include "telemetry/caller_memory_log.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <string_view>
#include <thread>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

// Runs forwarded by other instances that are served concurrently; each blocks
// its thread until the run has been answered.
constexpr std::size_t forward_thread_count = 8;
constexpr std::chrono::milliseconds drain_poll_interval{10};
// Connections on which no request has arrived yet stay open this long after the
// listening socket was closed, so that a first request that is already on its
// way is still answered.
constexpr std::chrono::milliseconds first_request_grace{500};
constexpr unsigned status_not_found = 404;

incarnation random_incarnation()
{
    std::random_device source;
    return {(std::uint64_t{source()} << 32U) | source()};
}

http_reply not_found(std::string_view valid_requests)
{
    http_reply reply;
    reply.status = status_not_found;
    reply.body =
        encode_error({error_kind::malformed_request,
                      "no such resource; use " + std::string(valid_requests)});
    return reply;
}

}

entry_process::entry_process(settings initial_settings)
    : values(std::move(initial_settings))
    , self(random_incarnation())
    , pauses(std::chrono::steady_clock::now())
    , control_worker(1)
    , workers(this->values.workers)
    , contexts(make_worker_contexts(this->views, this->values.workers))
    , upstreams(this->workers, upstream_pool::options{})
    , control(control_loop::options{.values = &this->values,
                                    .control = &this->control_worker.at(0),
                                    .views = &this->views,
                                    .upstreams = &this->upstreams,
                                    .measures = &this->measures,
                                    .pauses = &this->pauses,
                                    .self = this->self,
                                    .handle_pause = [this]
                                    { this->runs.cancel_unsent(); }})
    , queries(query_api::options{.workers = &this->workers,
                                 .contexts = &this->contexts,
                                 .upstreams = &this->upstreams,
                                 .measures = &this->measures,
                                 .pauses = &this->pauses,
                                 .failure_domain = this->values.failure_domain})
    , runs(run_service::options{
          .workers = &this->workers,
          .contexts = &this->contexts,
          .upstreams = &this->upstreams,
          .measures = &this->measures,
          .pauses = &this->pauses,
          .registry = {.instance = format_endpoint(this->values.peer_address),
                       .self = this->self},
          .failure_domain = this->values.failure_domain})
    , prober(status_prober::options{.workers = &this->workers,
                                    .contexts = &this->contexts,
                                    .upstreams = &this->upstreams})
    , admin(admin_api::options{.values = &this->values,
                               .control = &this->control,
                               .measures = &this->measures,
                               .self = this->self})
    , forward_threads(forward_thread_count)
    , budget(derive_caller_budget(this->values.memory_mb,
                                  this->values.descriptors))
    , memory(make_logged_caller_memory(this->budget.max_bytes))
    , caller_server(this->workers,
                    this->make_server_options(this->values.caller_address,
                                              this->budget.caller_connections),
                    [this](http_request request)
                    { return this->handle_caller(std::move(request)); })
    , admin_server(this->control_worker,
                   this->make_server_options(this->values.admin_address,
                                             this->budget.probe_connections),
                   [this](http_request request)
                   { return this->handle_admin(std::move(request)); })
    , peer_server(this->control_worker,
                  this->make_server_options(this->values.peer_address,
                                            this->budget.peer_connections),
                  [this](http_request request)
                  { return this->handle_peer(std::move(request)); })
{
    this->run_methods.add("run.forward", [this](const std::string& parameters)
                          { return this->runs.run_forwarded(parameters); });
}

entry_process::~entry_process() = default;

http_server::options
entry_process::make_server_options(const asio::ip::tcp::endpoint& listen,
                                   std::size_t max_connections) const
{
    return {.listen = listen,
            .max_connections = max_connections,
            .memory = this->memory,
            .socket_buffer_bytes = caller_memory::socket_buffer_bytes};
}

asio::awaitable<http_reply> entry_process::handle_admin(http_request request)
{
    this->measures.instance().set_callers(
        this->memory->current(),
        static_cast<double>(this->caller_server.connections().refused));
    return this->admin.handle(std::move(request));
}

result<void> entry_process::run()
{
    for (auto* server :
         {&this->peer_server, &this->admin_server, &this->caller_server})
    {
        BOOST_OUTCOME_TRY(server->start());
    }
    this->workers.start();
    this->control_worker.start();
    this->runs.start();
    this->prober.start();
    asio::post(this->control_worker.at(0), [this] { this->control.start(); });
    log_event(log_level::info, "started",
              {{"name", this->values.name},
               {"callers", format_endpoint(this->values.caller_address)},
               {"peers", format_endpoint(this->values.peer_address)}});
    this->wait_for_signal();
    this->drain();
    return boost::outcome_v2::success();
}

void entry_process::wait_for_signal()
{
    asio::io_context context;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](boost::system::error_code, int) {});
    context.run();
}

void entry_process::drain()
{
    log_event(log_level::info, "shutdown_started");
    this->control.set_leaving();
    this->caller_server.begin_drain();
    // The load balancer learns of the shutdown from /ready and from the
    // platform's instance list, which lags; until then it still sends requests
    // here.
    std::this_thread::sleep_for(this->values.drain_grace);
    this->caller_server.stop_accepting().wait();
    std::this_thread::sleep_for(first_request_grace);
    while (this->caller_server.running_requests() > 0 ||
           this->peer_server.running_requests() > 0)
        std::this_thread::sleep_for(drain_poll_interval);
    this->peer_server.stop_accepting();
    this->admin_server.stop_accepting();
    this->runs.stop();
    this->control.stop();
    this->forward_threads.join();
    this->workers.stop();
    this->control_worker.stop();
    log_event(log_level::info, "shutdown_finished");
}

asio::awaitable<http_reply> entry_process::handle_caller(http_request request)
{
    struct route
    {
        std::string_view target;
        asio::awaitable<http_reply> (entry_process::*handle)(http_request);
    };
    constexpr std::array routes{
        route{"/v1/run-ids", &entry_process::issue_run_id},
        route{"/v1/run", &entry_process::handle_run},
    };
    this->measures.instance().set_running_requests(
        static_cast<double>(this->caller_server.running_requests()));
    if (request.method == "POST" && request.target == "/v1/query")
        co_return co_await this->queries.handle(std::move(request));
    const auto* found = std::find_if(routes.begin(), routes.end(),
                                     [&](const route& each)
                                     { return each.target == request.target; });
    if (found == routes.end() || request.method != "POST")
        co_return not_found("POST /v1/query, /v1/run-ids or /v1/run");
    co_return co_await (this->*found->handle)(std::move(request));
}

asio::awaitable<http_reply> entry_process::issue_run_id(http_request request)
{
    auto service = decode_run_id_request(request.body);
    if (!service)
        co_return error_reply(this->measures, service.error());
    const auto issued = co_await this->runs.issue(std::move(service.value()));
    if (!issued)
        co_return error_reply(this->measures, issued.error());
    http_reply reply;
    reply.body =
        encode_run_id(issued.value(), run_registry::options{}.lifetime);
    co_return reply;
}

asio::awaitable<http_reply> entry_process::handle_run(http_request request)
{
    auto decoded = decode_run_request(request.body);
    if (!decoded)
        co_return error_reply(this->measures, decoded.error());
    const auto id = decoded.value().run_id;
    const auto answer =
        co_await this->runs.run(std::move(decoded.value()), request.received);
    if (!answer)
        co_return error_reply(this->measures, answer.error());
    http_reply reply;
    reply.body = encode_run_answer(id, answer.value());
    co_return reply;
}

asio::awaitable<http_reply> entry_process::handle_peer(http_request request)
{
    http_reply reply;
    if (request.target == "/rpc/control")
    {
        reply.body = this->control.handle_peer_message(request.body);
        co_return reply;
    }
    if (request.target != "/rpc/run")
        co_return not_found("POST /rpc/control or /rpc/run");
    reply.body = co_await this->serve_forwarded_run(std::move(request.body));
    co_return reply;
}

asio::awaitable<std::string>
entry_process::serve_forwarded_run(std::string message)
{
    auto serving = asio::co_spawn(
        this->forward_threads.get_executor(),
        [this, message = std::move(message)]() -> asio::awaitable<std::string>
        { co_return this->run_methods.handle(message); },
        asio::use_awaitable);
    co_return co_await std::move(serving);
}

}
