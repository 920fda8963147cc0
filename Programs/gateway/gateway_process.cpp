#include "gateway_process.hpp"

#include "core/process/gossip_codec.hpp"
#include "net/forwarding_dialect.hpp"
#include "net/http_client.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds drain_poll{20};
// Part of the grace in which callers' balancer notices that this instance is
// not ready: it asks each second and believes the second answer.
constexpr double listening_share = 0.5;
// Kept back from the grace, so that the process ends before it is killed.
constexpr std::chrono::milliseconds grace_margin{600};
// Part of the tolerated repeats that is used: views of the load differ.
constexpr double repeat_safety = 0.9;
// Instances among which the slack of the repeats is divided.
constexpr double assumed_instances = 14;
// An idle connection of a caller is kept for longer than callers reuse it.
constexpr std::chrono::milliseconds idle_slack{1000};

constexpr unsigned status_unavailable = 503;

// What the pool needs to know about opaque requests.
upstream_pool::options
make_pool_options(std::shared_ptr<const upstream_dialect> dialect)
{
    upstream_pool::options chosen;
    chosen.max_reply_bytes = std::size_t{16} * 1024 * 1024;
    chosen.connect_timeout = std::chrono::milliseconds(300);
    chosen.failure_penalty = std::chrono::milliseconds(200);
    chosen.dialect = std::move(dialect);
    return chosen;
}

repeat_budgets::options make_budgets(const gateway_settings& values)
{
    const double reserve = values.repeat_slack / assumed_instances;
    return {.ratio = values.repeat_ratio * repeat_safety,
            .reserve = static_cast<unsigned>(std::max(1.0, reserve))};
}

std::uint64_t random_seed();

membership::options make_member_options(const gateway_settings& values)
{
    using std::chrono::milliseconds;
    const auto started = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    membership::options chosen;
    if (values.peer_address)
        chosen.self.address = format_endpoint(*values.peer_address);
    chosen.self.failure_domain = values.failure_domain;
    chosen.self.nonce = {random_seed()};
    chosen.self.epoch = static_cast<std::uint64_t>(started.count());
    chosen.seeds = values.seeds;
    return chosen;
}

std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

}

gateway_process::gateway_process(gateway_settings chosen,
                                 std::unique_ptr<configuration_source> origin,
                                 forwarding_headers names)
    : values(std::move(chosen))
    , source(std::move(origin))
    , dialect(make_forwarding_dialect(names))
    , state{.routes = nullptr,
            .upstreams = {},
            .budgets = repeat_budgets(make_budgets(this->values)),
            .split = {},
            .random = std::mt19937_64(random_seed())}
    , upstreams(this->workers, make_pool_options(this->dialect))
    , watcher({.worker = &this->workers.at(0),
               .source = this->source.get(),
               .state = &this->state,
               .upstreams = &this->upstreams})
    , peers({.worker = &this->workers.at(0),
             .state = &this->state,
             .watcher = &this->watcher,
             .members = make_member_options(this->values)})
    , requests({.worker = &this->workers.at(0),
                .state = &this->state,
                .upstreams = &this->upstreams,
                .dialect = this->dialect,
                .names = std::move(names),
                .failure_domain = this->values.failure_domain})
    , caller_server(this->workers,
                    {.listen = this->values.caller_address,
                     .limits = [this] { return this->read_limits(); }},
                    [this](http_request request)
                    { return this->requests.handle(std::move(request)); })
    , ready_server(this->workers, {.listen = this->values.ready_address},
                   [this](http_request request)
                   { return this->answer_ready(std::move(request)); })
{
    if (this->values.peer_address)
        this->peer_server.emplace(
            this->workers,
            http_server::options{.listen = *this->values.peer_address,
                                 .max_body_bytes = max_gossip_bytes},
            [this](http_request request)
            { return this->answer_peer(std::move(request)); });
}

gateway_process::~gateway_process() = default;

result<void> gateway_process::run()
{
    asio::io_context signal_context;
    asio::signal_set signals(signal_context, SIGTERM, SIGINT);
    signals.async_wait([](boost::system::error_code, int) {});
    for (auto* server : {&this->caller_server, &this->ready_server})
    {
        BOOST_OUTCOME_TRY(server->start());
    }
    if (this->peer_server)
    {
        BOOST_OUTCOME_TRY(this->peer_server->start());
    }
    asio::post(this->workers.at(0),
               [this]
               {
                   this->watcher.start();
                   if (this->peer_server)
                       this->peers.start();
               });
    this->workers.start();
    log_event(log_level::info, "started",
              {{"name", this->values.name},
               {"callers", format_endpoint(this->values.caller_address)}});
    signal_context.run();
    this->drain();
    return boost::outcome_v2::success();
}

void gateway_process::drain()
{
    const auto started = std::chrono::steady_clock::now();
    log_event(log_level::info, "shutdown_started");
    this->is_draining = true;
    this->caller_server.begin_drain();
    std::this_thread::sleep_for(this->values.shutdown_grace * listening_share);
    this->caller_server.stop_accepting();
    const auto last = started + this->values.shutdown_grace - grace_margin;
    while (this->caller_server.running_requests() > 0 &&
           std::chrono::steady_clock::now() < last)
        std::this_thread::sleep_for(drain_poll);
    log_event(
        log_level::info, "shutdown_finished",
        {{"running", std::to_string(this->caller_server.running_requests())}});
    this->peers.stop();
    this->workers.stop();
}

asio::awaitable<http_reply> gateway_process::answer_ready(http_request)
{
    http_reply reply;
    if (!this->is_ready())
        reply.status = status_unavailable;
    co_return reply;
}

asio::awaitable<http_reply> gateway_process::answer_peer(http_request request)
{
    http_reply reply;
    reply.body = this->peers.handle_message(request.body);
    co_return reply;
}

http_limits gateway_process::read_limits() const
{
    const caller_limits limits =
        this->state.routes ? this->state.routes->callers() : caller_limits{};
    return {.max_header_bytes = limits.max_header_bytes,
            .max_body_bytes = limits.max_body_bytes,
            .idle_timeout = limits.idle_timeout + idle_slack};
}

bool gateway_process::is_ready() const
{
    return !this->is_draining && this->state.routes &&
           !this->state.upstreams.all().empty();
}

}
