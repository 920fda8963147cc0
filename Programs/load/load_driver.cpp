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

// The kind under which an exchange without a reply is counted.
std::string error_of(exchange_end end)
{
    switch (end)
    {
    case exchange_end::connect_failed:
        return "connect_failed";
    case exchange_end::cut:
        return "cut";
    case exchange_end::timed_out:
        return "no_reply";
    case exchange_end::no_connection:
        return "no_free_connection";
    case exchange_end::malformed_reply:
        return "malformed_reply";
    case exchange_end::replied:
        break;
    }
    return "internal";
}

asio::awaitable<void> wait_until(asio::io_context& context, time_point at)
{
    asio::steady_timer timer(context, at);
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
    this->spawn(this->follow_schedule());
    if (!this->options.admin_ports.empty())
        this->spawn(this->follow_readiness());
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

std::uint64_t load_driver::needed() const
{
    return this->needed_count;
}

std::uint64_t load_driver::queries_without_shards() const
{
    return this->without_shards;
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

asio::awaitable<void> load_driver::follow_schedule()
{
    std::vector<double> rates;
    for (const class_load& entry : this->options.classes)
        rates.push_back(entry.rate);
    arrival_schedule schedule(rates, this->options.arrivals,
                              this->options.seed);
    for (std::uint64_t number = 1;; ++number)
    {
        const arrival next = schedule.next();
        if (next.at >= this->options.duration)
            break;
        const time_point intended = this->started + next.at;
        // When the driver is late, all requests that are due start at once;
        // their latency counts from the intended start.
        if (intended > clock::now())
            co_await wait_until(this->context, intended);
        const due_request due{
            .number = number,
            .caller_class = next.caller_class,
            .intended = intended,
            .give_up = intended +
                       this->options.classes[next.caller_class].deadline +
                       give_up_grace,
            .is_measured = next.at >= this->options.warmup};
        ++this->running;
        if (this->options.mode == load_mode::runs)
            this->spawn(this->send_run(due));
        else
            this->spawn(this->send_query(due));
    }
    this->is_scheduling = false;
}

asio::awaitable<void> load_driver::follow_readiness()
{
    // Own connections, so that requests that wait for one delay no check.
    keep_alive_client checks(this->context,
                             static_cast<unsigned>(this->entries.size()));
    while (this->is_scheduling || this->running > 0)
    {
        const time_point next = clock::now() + ready_interval;
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        {
            exchange_request request{.server = this->options.admin_ports[entry],
                                     .method = "GET",
                                     .target = "/ready",
                                     .body = {},
                                     .give_up = clock::now() + ready_interval};
            const exchange_result result =
                co_await checks.exchange(std::move(request));
            this->entries.set_ready(entry,
                                    result.end == exchange_end::replied &&
                                        result.status == 200);
        }
        co_await wait_until(this->context, next);
    }
}

asio::awaitable<load_driver::entry_reply> load_driver::send(std::size_t entry,
                                                            std::string target,
                                                            std::string body,
                                                            time_point give_up)
{
    entry_reply reply{.entry = entry};
    for (std::size_t tried = 0; tried < this->entries.size(); ++tried)
    {
        exchange_request request{.server = this->entries.at(reply.entry),
                                 .target = target,
                                 .body = body,
                                 .give_up = give_up};
        reply.result = co_await this->client.exchange(std::move(request));
        if (reply.result.end != exchange_end::connect_failed)
            break;
        const time_point now = clock::now();
        this->entries.record_refusal(reply.entry, now);
        if (tried + 1 < this->entries.size())
            reply.entry = this->entries.next(now);
    }
    co_return reply;
}

asio::awaitable<void> load_driver::send_query(due_request due)
{
    const class_load& caller_class = this->options.classes[due.caller_class];
    const std::string request_id = "load-" +
                                   std::to_string(this->options.seed) + "-" +
                                   std::to_string(due.number);
    const json::object body{{"service", this->options.service},
                            {"class", caller_class.name},
                            {"query", "query " + std::to_string(due.number)},
                            {"deadline_ms", caller_class.deadline.count()},
                            {"request_id", request_id}};
    const entry_reply reply =
        co_await this->send(this->entries.next(clock::now()), "/v1/query",
                            json::serialize(body), due.give_up);
    --this->running;
    if (reply.result.end != exchange_end::replied)
    {
        ++this->without_shards;
        this->record_failure(due, reply.result);
        co_return;
    }
    const query_reply read =
        read_query_reply(reply.result.status, reply.result.body, request_id);
    if (read.covered + read.lacked == 0)
        ++this->without_shards;
    this->needed_count += read.covered + read.lacked;
    if (!read.violation.empty())
        ++this->violation_counts[read.violation];
    this->record(due, {.error = read.error,
                       .covered = read.covered,
                       .lacked = read.lacked,
                       .is_complete = read.is_complete});
}

asio::awaitable<void> load_driver::send_run(due_request due)
{
    const json::object body{{"service", this->options.service}};
    const entry_reply reply =
        co_await this->send(this->entries.next(clock::now()), "/v1/run-ids",
                            json::serialize(body), due.give_up);
    const std::string run_id =
        read_run_id(reply.result.status, reply.result.body);
    if (run_id.empty())
    {
        --this->running;
        if (reply.result.end != exchange_end::replied)
            this->record_failure(due, reply.result);
        else
            this->record(due, {.error = read_error(reply.result.status,
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
        this->spawn(this->send_run_once(due, run, other, true));
    }
    co_await this->send_run_once(due, run, reply.entry, false);
}

asio::awaitable<void>
load_driver::send_run_once(due_request due, std::shared_ptr<run_record> run,
                           std::size_t entry, bool is_repeat)
{
    if (is_repeat)
    {
        std::uniform_int_distribution<duration::rep> delay(
            0, duration(repeat_window).count());
        co_await wait_until(this->context,
                            clock::now() + duration(delay(this->random)));
    }
    const class_load& caller_class = this->options.classes[due.caller_class];
    const json::object body{{"run_id", run->run_id},
                            {"service", this->options.service},
                            {"class", caller_class.name},
                            {"payload", run->payload},
                            {"deadline_ms", caller_class.deadline.count()}};
    const entry_reply reply = co_await this->send(
        entry, "/v1/run", json::serialize(body), due.give_up);
    --this->running;
    class_report& report = this->reports[due.caller_class];
    const std::string prefix = is_repeat ? "repeat_" : "";
    if (reply.result.end != exchange_end::replied)
    {
        if (due.is_measured)
            report.count_outcome(prefix + error_of(reply.result.end));
        if (!is_repeat)
            this->record_failure(due, reply.result);
        co_return;
    }
    const run_reply read =
        read_run_reply(reply.result.status, reply.result.body, run->run_id);
    if (!read.violation.empty())
        ++this->violation_counts[read.violation];
    this->check_outcome(*run, read.outcome, read.reply);
    const std::string& outcome = read.error.empty() ? read.outcome : read.error;
    if (due.is_measured)
        report.count_outcome(prefix + outcome);
    if (!is_repeat)
        this->record(due, {.error = outcome == "done" ? "" : outcome});
}

void load_driver::record(const due_request& due, request_end end)
{
    if (!due.is_measured)
        return;
    end.latency = clock::now() - due.intended;
    end.deadline = this->options.classes[due.caller_class].deadline;
    this->reports[due.caller_class].record(end);
}

void load_driver::record_failure(const due_request& due,
                                 const exchange_result& result)
{
    if (due.is_measured && result.end == exchange_end::cut)
        this->reports[due.caller_class].count_cut(result.was_reused);
    this->record(due, {.error = error_of(result.end)});
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
