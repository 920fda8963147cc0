#include "load_driver.hpp"

#include "query_reply.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <exception>
#include <memory>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using clock = std::chrono::steady_clock;

// Returns the error kind under which an exchange without a reply is counted.
std::string error_of(exchange_outcome outcome)
{
    switch (outcome)
    {
    case exchange_outcome::connect_failed:
        return "connect_failed";
    case exchange_outcome::cut:
        return "cut";
    case exchange_outcome::timed_out:
        return "no_reply";
    case exchange_outcome::no_connection:
        return "no_free_connection";
    case exchange_outcome::malformed_reply:
        return "malformed_reply";
    case exchange_outcome::replied:
        break;
    }
    return "internal";
}

asio::awaitable<void> wait_until(asio::io_context& context, time_point time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

}

load_driver::load_driver(asio::io_context& context, load_options options)
    : context(context)
    , options(std::move(options))
    , client(context, this->options.connections)
    , entries(this->options.entries)
    , random(this->options.seed)
    , reports(this->options.classes.size())
{
}

void load_driver::run()
{
    this->started = clock::now();
    this->spawn(this->run_schedule());
    if (!this->options.admin_ports.empty())
        this->spawn(this->poll_readiness());
    this->context.run();
}

const std::vector<class_report>& load_driver::classes() const
{
    return this->reports;
}

const std::map<std::string, std::uint64_t>& load_driver::violations() const
{
    return this->violation_counts;
}

std::uint64_t load_driver::required_sub_requests() const
{
    return this->required_sub_request_count;
}

std::uint64_t load_driver::queries_without_shards() const
{
    return this->without_shards_count;
}

void load_driver::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(this->context, std::move(task),
                   [](const std::exception_ptr& failure)
                   {
                       if (failure)
                           std::rethrow_exception(failure);
                   });
}

asio::awaitable<void> load_driver::run_schedule()
{
    std::vector<double> rates;
    for (const class_load& entry : this->options.classes)
        rates.push_back(entry.rate);
    arrival_schedule schedule(rates, this->options.arrivals,
                              this->options.seed);
    for (std::uint64_t number = 1;; ++number)
    {
        const arrival next = schedule.next();
        if (next.offset >= this->options.duration)
            break;
        const time_point intended = this->started + next.offset;
        // If the driver is late, all overdue requests start at once; their
        // latency counts from the intended start.
        if (intended > clock::now())
            co_await wait_until(this->context, intended);
        const scheduled_request scheduled{
            .number = number,
            .caller_class = next.caller_class,
            .intended = intended,
            .expiry = intended +
                      this->options.classes[next.caller_class].deadline +
                      expiry_grace,
            .is_measured = next.offset >= this->options.warmup};
        ++this->running;
        if (this->options.mode == load_mode::runs)
            this->spawn(this->send_run(scheduled));
        else
            this->spawn(this->send_query(scheduled));
    }
    this->is_scheduling = false;
}

asio::awaitable<void> load_driver::poll_readiness()
{
    // Separate connections, so that checks don't queue behind requests.
    keep_alive_client checks(this->context,
                             static_cast<unsigned>(this->entries.size()));
    while (this->is_scheduling || this->running > 0)
    {
        const time_point next = clock::now() + readiness_poll_interval;
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        {
            exchange_request request{.server = this->options.admin_ports[entry],
                                     .method = "GET",
                                     .target = "/ready",
                                     .body = {},
                                     .expiry = clock::now() +
                                               readiness_poll_interval};
            const exchange_result result =
                co_await checks.exchange(std::move(request));
            this->entries.set_ready(entry, result.outcome ==
                                                   exchange_outcome::replied &&
                                               result.status == 200);
        }
        co_await wait_until(this->context, next);
    }
}

asio::awaitable<load_driver::entry_reply> load_driver::send(std::size_t entry,
                                                            std::string target,
                                                            std::string body,
                                                            time_point expiry)
{
    entry_reply reply{.entry = entry};
    for (std::size_t tried = 0; tried < this->entries.size(); ++tried)
    {
        exchange_request request{.server = this->entries.at(reply.entry),
                                 .target = target,
                                 .body = body,
                                 .expiry = expiry};
        reply.result = co_await this->client.exchange(std::move(request));
        if (reply.result.outcome != exchange_outcome::connect_failed)
            break;
        const time_point now = clock::now();
        this->entries.record_refusal(reply.entry, now);
        if (tried + 1 < this->entries.size())
            reply.entry = this->entries.next(now);
    }
    co_return reply;
}

asio::awaitable<void> load_driver::send_query(scheduled_request scheduled)
{
    const class_load& caller_class =
        this->options.classes[scheduled.caller_class];
    const std::string request_id = "load-" +
                                   std::to_string(this->options.seed) + "-" +
                                   std::to_string(scheduled.number);
    const json::object body{
        {"service", this->options.service},
        {"class", caller_class.name},
        {"query", "query " + std::to_string(scheduled.number)},
        {"deadline_ms", caller_class.deadline.count()},
        {"request_id", request_id}};
    const entry_reply reply =
        co_await this->send(this->entries.next(clock::now()), "/v1/query",
                            json::serialize(body), scheduled.expiry);
    --this->running;
    if (reply.result.outcome != exchange_outcome::replied)
    {
        ++this->without_shards_count;
        this->record_failure(scheduled, reply.result);
        co_return;
    }
    const query_reply parsed =
        read_query_reply(reply.result.status, reply.result.body, request_id);
    if (parsed.covered + parsed.lacked == 0)
        ++this->without_shards_count;
    this->required_sub_request_count += parsed.covered + parsed.lacked;
    if (!parsed.violation.empty())
        ++this->violation_counts[parsed.violation];
    this->record(scheduled, {.error = parsed.error,
                             .covered = parsed.covered,
                             .lacked = parsed.lacked,
                             .is_complete = parsed.is_complete});
}

asio::awaitable<void> load_driver::send_run(scheduled_request scheduled)
{
    const json::object body{{"service", this->options.service}};
    const entry_reply reply =
        co_await this->send(this->entries.next(clock::now()), "/v1/run-ids",
                            json::serialize(body), scheduled.expiry);
    const std::string run_id =
        read_run_id(reply.result.status, reply.result.body);
    if (run_id.empty())
    {
        --this->running;
        if (reply.result.outcome != exchange_outcome::replied)
            this->record_failure(scheduled, reply.result);
        else
            this->record(scheduled, {.error = read_error(reply.result.status,
                                                         reply.result.body)});
        co_return;
    }
    // Upstream stand-ins count executions by the run id in the payload.
    auto run = std::make_shared<run_record>(run_record{
        .run_id = run_id,
        .payload = json::serialize(json::object{{"run_id", run_id}})});
    const bool is_repeated =
        std::bernoulli_distribution(this->options.repeat)(this->random);
    if (is_repeated)
    {
        std::size_t other = this->entries.next(clock::now());
        if (other == reply.entry)
            other = this->entries.next(clock::now());
        ++this->running;
        this->spawn(this->send_run_once(scheduled, run, other, true));
    }
    co_await this->send_run_once(scheduled, run, reply.entry, false);
}

asio::awaitable<void>
load_driver::send_run_once(scheduled_request scheduled,
                           std::shared_ptr<run_record> run, std::size_t entry,
                           bool is_repeat)
{
    if (is_repeat)
    {
        std::uniform_int_distribution<duration::rep> delay(
            0, duration(repeat_window).count());
        co_await wait_until(this->context,
                            clock::now() + duration(delay(this->random)));
    }
    const class_load& caller_class =
        this->options.classes[scheduled.caller_class];
    const json::object body{{"run_id", run->run_id},
                            {"service", this->options.service},
                            {"class", caller_class.name},
                            {"payload", run->payload},
                            {"deadline_ms", caller_class.deadline.count()}};
    const entry_reply reply = co_await this->send(
        entry, "/v1/run", json::serialize(body), scheduled.expiry);
    --this->running;
    class_report& report = this->reports[scheduled.caller_class];
    const std::string prefix = is_repeat ? "repeat_" : "";
    if (reply.result.outcome != exchange_outcome::replied)
    {
        if (scheduled.is_measured)
            report.count_outcome(prefix + error_of(reply.result.outcome));
        if (!is_repeat)
            this->record_failure(scheduled, reply.result);
        co_return;
    }
    const run_reply parsed =
        read_run_reply(reply.result.status, reply.result.body, run->run_id);
    if (!parsed.violation.empty())
        ++this->violation_counts[parsed.violation];
    this->check_outcome(*run, parsed.outcome, parsed.reply);
    const std::string& outcome =
        parsed.error.empty() ? parsed.outcome : parsed.error;
    if (scheduled.is_measured)
        report.count_outcome(prefix + outcome);
    if (!is_repeat)
        this->record(scheduled, {.error = outcome == "done" ? "" : outcome});
}

void load_driver::record(const scheduled_request& scheduled,
                         request_outcome outcome)
{
    if (!scheduled.is_measured)
        return;
    outcome.latency = clock::now() - scheduled.intended;
    outcome.deadline = this->options.classes[scheduled.caller_class].deadline;
    this->reports[scheduled.caller_class].record(outcome);
}

void load_driver::record_failure(const scheduled_request& scheduled,
                                 const exchange_result& result)
{
    if (scheduled.is_measured && result.outcome == exchange_outcome::cut)
        this->reports[scheduled.caller_class].count_cut(result.was_reused);
    this->record(scheduled, {.error = error_of(result.outcome)});
}

void load_driver::check_outcome(run_record& run, const std::string& outcome,
                                const std::string& reply)
{
    if (outcome == "done")
    {
        if (run.was_done && run.reply != reply)
            ++this->violation_counts["two_replies_for_one_run"];
        run.was_done = true;
        run.reply = reply;
    }
    if (outcome == "not_run")
        run.was_not_run = true;
    if (run.was_done && run.was_not_run)
        ++this->violation_counts["done_and_not_run"];
}

}
