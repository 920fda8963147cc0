#include "gateway_process.hpp"

#include "cold_upstreams.hpp"
#include "core/process/gossip_codec.hpp"
#include "gateway_options.hpp"
#include "net/forwarding_dialect.hpp"
#include "net/http_client.hpp"
#include "telemetry/caller_memory_log.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <csignal>
#include <thread>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds drain_poll_interval{20};
// Callers that have just connected are about to send their first request, which
// does not count as running yet.
constexpr std::chrono::milliseconds first_request_wait{100};
// Part of the shutdown grace in which connections are still accepted, until the
// callers' load balancer notices that this instance is not ready: it probes
// each second and acts on the second failed probe.
constexpr double accepting_grace_ratio = 0.5;
// Subtracted from the shutdown grace, so that the process ends before it is
// killed.
constexpr std::chrono::milliseconds shutdown_grace_margin{600};
// Part of that margin in which the last answers are written.
constexpr std::chrono::milliseconds final_answer_time{300};
// Idle connections of callers are kept longer than callers reuse them.
constexpr std::chrono::milliseconds idle_timeout_margin{1000};

constexpr unsigned status_unavailable = 503;

constexpr const char* program_name = "wisteriahatch-gateway";
constexpr std::chrono::seconds settings_poll_interval{2};
constexpr std::chrono::seconds rate_limit_log_interval{1};

// Returns when the file was last written; the epoch when it can't be read.
std::filesystem::file_time_type last_write_time_of(const std::string& path)
{
    std::error_code failure;
    const auto time = std::filesystem::last_write_time(path, failure);
    return failure ? std::filesystem::file_time_type{} : time;
}

}

gateway_process::gateway_process(std::string path,
                                 gateway_settings initial_settings,
                                 std::unique_ptr<configuration_source> origin,
                                 forwarding_header_names names)
    : settings_path(std::move(path))
    , settings(std::move(initial_settings))
    , budget(derive_caller_budget(this->settings.memory_mb,
                                  this->settings.descriptors))
    , source(std::move(origin))
    , dialect(make_forwarding_dialect(names))
    , started(std::chrono::steady_clock::now())
    , state{.routes = nullptr,
            .upstreams = {},
            .evacuated = {},
            .budgets = retry_budgets(make_budget_options(
                this->settings, this->fleet, this->started)),
            .rate_limits = {},
            .split = {},
            .random = std::mt19937_64(random_seed())}
    , upstreams(this->workers, make_pool_options(this->dialect, this->measures))
    , watcher(
          {.worker = &this->workers.at(0),
           .source = this->source.get(),
           .peer = this->settings.peer_address ? &this->reader : nullptr,
           .state = &this->state,
           .upstreams = &this->upstreams,
           .instance = format_endpoint(this->settings.caller_address),
           .failure_domain = this->settings.failure_domain,
           .max_upstream_connections = this->budget.upstream_connections,
           .follows_evacuations = this->settings.follows_evacuations(),
           .handle_evacuations = [this](const std::vector<evacuation_change>&)
           { this->requests.withdraw_evacuated(); }})
    , peers({.worker = &this->workers.at(0),
             .state = &this->state,
             .watcher = &this->watcher,
             .membership_options = make_membership_options(this->settings),
             .handle_fleet_size = [this](const fleet_size& size)
             { this->set_fleet_size(size); },
             .handle_rate_limit = [](const rate_limit_report& report)
             { log_rate_limit(report, "peer"); }})
    , reader(this->peers, this->watcher)
    , requests(
          {.worker = &this->workers.at(0),
           .state = &this->state,
           .upstreams = &this->upstreams,
           .dialect = this->dialect,
           .header_names = std::move(names),
           .failure_domain = this->settings.failure_domain,
           .measures = &this->measures,
           .handle_cold = [this] { this->peers.announce_cold_upstreams(); }})
    , memory(make_logged_caller_memory(this->budget.max_bytes))
    , caller_server(this->workers, this->make_caller_options(),
                    [this](http_request request)
                    { return this->requests.handle(std::move(request)); })
    , ready_server(this->workers,
                   this->make_server_options(this->settings.ready_address,
                                             this->budget.probe_connections),
                   [this](http_request request)
                   { return this->answer_ready(std::move(request)); })
    , pauses(this->workers.at(0),
             [this](duration length) { this->handle_pause(length); })
    , reload_signal(this->workers.at(0), SIGHUP)
    , reload_timer(this->workers.at(0))
    , reserve_timer(this->workers.at(0))
    , rate_limit_timer(this->workers.at(0))
    , settings_write_time(last_write_time_of(this->settings_path))
    , shutdown_grace(this->settings.shutdown_grace)
{
    this->state.rate_limits.set_warm_up(make_warm_up_bound(this->settings));
    this->state.upstreams.set_leaving_grace(leaving_grace_of(this->settings));
    if (this->settings.has_admission)
        this->state.admission.emplace(&this->state.budgets);
    if (this->settings.metrics_address)
        this->metrics_server.emplace(
            this->workers,
            this->make_server_options(*this->settings.metrics_address,
                                      this->budget.probe_connections),
            [this](http_request request)
            { return this->answer_metrics(std::move(request)); });
    if (!this->settings.peer_address)
        return;
    auto peer_options = this->make_server_options(
        *this->settings.peer_address, this->budget.peer_connections);
    peer_options.max_body_bytes = max_gossip_bytes;
    this->peer_server.emplace(this->workers, std::move(peer_options),
                              [this](http_request request) {
                                  return this->answer_peer(std::move(request));
                              });
}

gateway_process::~gateway_process() = default;

http_server::options
gateway_process::make_server_options(const asio::ip::tcp::endpoint& listen,
                                     std::size_t max_connections) const
{
    return {.listen = listen,
            .max_connections = max_connections,
            .memory = this->memory,
            .socket_buffer_bytes = caller_memory::socket_buffer_bytes};
}

http_server::options gateway_process::make_caller_options()
{
    auto options = this->make_server_options(this->settings.caller_address,
                                             this->budget.caller_connections);
    options.limits = [this] { return this->read_limits(); };
    return options;
}

result<void> gateway_process::run()
{
    asio::io_context signal_context;
    asio::signal_set signals(signal_context, SIGTERM, SIGINT);
    signals.async_wait([](boost::system::error_code, int) {});
    for (auto* server : {&this->caller_server, &this->ready_server})
    {
        BOOST_OUTCOME_TRY(server->start());
    }
    for (auto* server : {&this->peer_server, &this->metrics_server})
    {
        if (*server)
        {
            BOOST_OUTCOME_TRY((*server)->start());
        }
    }
    asio::post(this->workers.at(0),
               [this]
               {
                   this->watcher.start();
                   this->pauses.start();
                   this->watch_settings();
                   this->arm_reserve_timer();
                   this->watch_rate_limits();
                   if (this->peer_server)
                       this->peers.start();
                   else
                       this->state.rate_limits.set_fleet(
                           make_single_instance_fleet());
               });
    this->workers.start();
    log_event(log_level::info, "started",
              {{"name", this->settings.name},
               {"callers", format_endpoint(this->settings.caller_address)}});
    signal_context.run();
    this->drain();
    return boost::outcome_v2::success();
}

void gateway_process::drain()
{
    const auto started = std::chrono::steady_clock::now();
    const auto grace = this->shutdown_grace.load();
    log_event(log_level::info, "shutdown_started",
              {{"grace_ms", std::to_string(grace.count())}});
    this->is_draining = true;
    this->caller_server.begin_drain();
    asio::post(this->workers.at(0), [this] { this->peers.set_leaving(); });
    std::this_thread::sleep_for(grace * accepting_grace_ratio);
    const auto drain_end = started + grace - shutdown_grace_margin;
    this->caller_server.stop_accepting().wait_until(drain_end);
    std::this_thread::sleep_for(first_request_wait);
    // A request that arrives now might not end within the grace.
    asio::post(this->workers.at(0),
               [this] { this->requests.refuse_requests(); });
    this->wait_for_requests(drain_end);
    asio::post(this->workers.at(0),
               [this] { this->requests.expire_requests(); });
    this->wait_for_requests(drain_end + final_answer_time);
    log_event(
        log_level::info, "shutdown_finished",
        {{"running", std::to_string(this->caller_server.running_requests())}});
    this->peers.stop();
    this->workers.stop();
}

void gateway_process::wait_for_requests(time_point end) const
{
    while (this->caller_server.running_requests() > 0 &&
           std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(drain_poll_interval);
}

asio::awaitable<http_reply> gateway_process::answer_ready(http_request)
{
    http_reply reply;
    if (!this->is_ready())
        reply.status = status_unavailable;
    co_return reply;
}

asio::awaitable<http_reply>
gateway_process::answer_metrics(http_request request)
{
    if (request.target == "/status")
        co_return this->make_status();
    this->refresh_gauges();
    http_reply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = this->measures.text();
    co_return reply;
}

http_reply gateway_process::make_status() const
{
    const auto& address = this->settings.peer_address
                              ? *this->settings.peer_address
                              : this->settings.caller_address;
    const auto counts = this->measures.signal_counts();
    boost::json::object status{{"address", format_endpoint(address)},
                               {"ready", this->is_ready()},
                               {"upstream_pauses", counts.pauses},
                               {"upstreams_left", counts.left},
                               {"sends_withheld", counts.withheld}};
    if (const auto& routes = this->state.routes)
    {
        status["document_serial"] = routes->version();
        status["document_digest"] =
            "routes-" + std::to_string(routes->version());
    }
    http_reply reply;
    reply.body = boost::json::serialize(status);
    return reply;
}

void gateway_process::refresh_gauges()
{
    const auto now = std::chrono::steady_clock::now();
    const auto& routes = this->state.routes;
    this->measures.set_routes_version(
        routes ? static_cast<double>(routes->version()) : 0);
    this->measures.set_source_age(now - this->state.last_source_contact);
    this->measures.instance().set_members(
        static_cast<double>(this->peers.live_members()));
    this->measures.instance().set_running_requests(
        static_cast<double>(this->caller_server.running_requests()));
    this->measures.instance().set_ready(this->is_ready());
    this->measures.instance().set_callers(
        this->memory->current(),
        static_cast<double>(this->caller_server.connections().refused));
    this->measures.set_dropped_log_lines(
        static_cast<double>(dropped_log_lines()));

    const auto& upstreams = this->state.upstreams.all();
    unsigned ejected = 0;
    unsigned running = 0;
    for (const auto& [id, entry] : upstreams)
    {
        ejected += entry->state->is_ejected(now) ? 1 : 0;
        running += entry->state->in_flight();
    }
    this->measures.set_upstreams(static_cast<double>(upstreams.size()));
    this->measures.set_ejected_upstreams(ejected);
    this->measures.set_running_attempts(running);
    this->measures.set_limited_upstreams(
        static_cast<double>(this->state.rate_limits.size()));
    this->measures.set_evacuated_domains(
        static_cast<double>(this->state.evacuated.all().size()));
    this->measures.set_cold_upstreams(
        static_cast<double>(this->state.rate_limits.cold_count(now)));
    for (const auto& [service, budget] : this->state.budgets.by_service())
        this->measures.set_repeat_tokens(
            service, std::floor(std::max(0.0, budget.left(now))));
    this->refresh_room();
}

void gateway_process::refresh_room()
{
    if (!this->state.admission || !this->state.routes)
        return;
    for (const auto& route : this->state.routes->routes())
    {
        const auto& service = route.is_scattered()
                                  ? route.shards.front()
                                  : route.services.front().service;
        this->measures.set_room(route.name,
                                this->state.admission->room(service));
    }
}

void gateway_process::watch_settings()
{
    this->reload_signal.async_wait(
        [this](boost::system::error_code failure, int)
        {
            if (failure)
                return;
            this->reload("signal");
            this->reload_timer.cancel();
            this->watch_settings();
        });
    this->reload_timer.expires_after(settings_poll_interval);
    this->reload_timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (failure)
                return;
            if (last_write_time_of(this->settings_path) !=
                this->settings_write_time)
                this->reload("file changed");
            this->reload_signal.cancel();
            this->watch_settings();
        });
}

void gateway_process::reload(const std::string& cause)
{
    this->settings_write_time = last_write_time_of(this->settings_path);
    auto changed = read_gateway_settings(this->settings_path);
    if (!changed)
    {
        log_event(log_level::error, "reload_failed",
                  {{"cause", cause}, {"reason", changed.error().message}});
        return;
    }
    this->shutdown_grace = changed.value().shutdown_grace;
    this->settings.repeat_ratio = changed.value().repeat_ratio;
    this->settings.repeat_slack = changed.value().repeat_slack;
    this->settings.repeat_window = changed.value().repeat_window;
    this->state.rate_limits.set_warm_up(make_warm_up_bound(changed.value()));
    this->state.upstreams.set_leaving_grace(leaving_grace_of(changed.value()));
    this->set_fleet_size(this->fleet);
    start_logging(program_name, changed.value().log_level);
    log_event(
        log_level::info, "reloaded",
        {{"cause", cause},
         {"grace_ms", std::to_string(changed.value().shutdown_grace.count())}});
}

void gateway_process::handle_pause(duration length)
{
    log_event(
        log_level::warning, "pause_detected",
        {{"length_ms",
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(length)
                  .count())}});
    // Upstreams have closed or dropped connections that were idle for so long.
    this->upstreams.close_idle();
    this->watcher.handle_pause(length);
    this->peers.handle_pause();
}

void gateway_process::set_fleet_size(const fleet_size& size)
{
    const bool is_settled = size.view == fleet_view::settled;
    this->fleet = size;
    const auto budgets =
        make_budget_options(this->settings, size, this->started);
    this->state.budgets.set_options(budgets);
    this->watcher.set_fleet_size(size);
    log_event(log_level::info, "shares_changed",
              {{"instances", std::to_string(size.instances)},
               {"view", is_settled ? "settled" : "settling"},
               {"repeat_reserve", std::to_string(budgets.reserve)}});
}

void gateway_process::arm_reserve_timer()
{
    this->reserve_timer.expires_at(this->started +
                                   this->settings.repeat_window);
    this->reserve_timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure)
                this->set_fleet_size(this->fleet);
        });
}

void gateway_process::watch_rate_limits()
{
    for (const auto& use : this->state.rate_limits.take_use())
    {
        this->measures.count_cold_withheld(use.cold_withheld);
        if (use.first_sends + use.repeats + use.withheld == 0)
            continue;
        log_event(log_level::info, "upstream_limit_use",
                  {{"upstream", use.upstream},
                   {"per_second", std::to_string(use.per_second)},
                   {"share", std::to_string(use.share)},
                   {"first_sends", std::to_string(use.first_sends)},
                   {"repeats", std::to_string(use.repeats)},
                   {"withheld", std::to_string(use.withheld)},
                   {"cold_withheld", std::to_string(use.cold_withheld)}});
    }
    this->state.rate_limits.expire(std::chrono::steady_clock::now());
    log_cold_changes(this->state);
    this->rate_limit_timer.expires_after(rate_limit_log_interval);
    this->rate_limit_timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure)
                this->watch_rate_limits();
        });
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
            .header_timeout = limits.header_timeout,
            .idle_timeout = limits.idle_timeout + idle_timeout_margin};
}

bool gateway_process::is_ready() const
{
    return !this->is_draining && this->state.routes &&
           !this->state.upstreams.all().empty() &&
           this->watcher.has_evacuations();
}

}
