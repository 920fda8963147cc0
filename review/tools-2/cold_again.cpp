// Case: a server that becomes cold again is sent the requests that wait for it.
// Usage: cold_again STORE GATEWAY_1 GATEWAY_2 GATEWAY_3 READY_1 READY_2 READY_3
//                   SERVER_NETWORK RECORD TROUBLE

#include "common.hpp"

#include <algorithm>
#include <condition_variable>

namespace
{

using namespace review;

constexpr int gateway_count = 3;
constexpr int server_count = 2;
// Of each server.
constexpr unsigned capacity = 6;
constexpr milliseconds work(28);
// What a cold server tolerates a second, and what the rule allows of it.
constexpr double warm_up_per_second = 10;
constexpr double overload = 1.5;
constexpr double slack = 5;
constexpr int allowed = static_cast<int>(warm_up_per_second * overload + slack);
// Arrivals in a second, well above the tolerated ones, at which it crashes.
constexpr int crash_arrivals = 3 * static_cast<int>(warm_up_per_second);
constexpr milliseconds cold_time(3000);
// Arrivals count from this time after the server has become cold, so that every
// gateway has had its answers that say so. The rule has no such allowance.
constexpr milliseconds notice(300);
// While it is cold a server works this many times as long.
constexpr double cold_factor = 1.6;

constexpr int clients_per_gateway = 100;
constexpr milliseconds load_before(4000);

// A server with a number of slots and a queue, which may become cold.
struct slots
{
    std::mutex mutex;
    std::condition_variable changed;
    unsigned running = 0;
    bool is_cold = false;
    bool has_crashed = false;
    time_point cold_since{};
    // While it is cold.
    std::vector<time_point> arrivals;
};

struct totals
{
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<bool> is_over{false};
};

// Returns the largest number of arrivals in a second.
int most_in_a_second(const std::vector<time_point>& arrivals)
{
    int most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
        const auto last =
            std::find_if(first, arrivals.end(),
                         [first](time_point each)
                         { return each >= *first + std::chrono::seconds(1); });
        most = std::max(most, static_cast<int>(last - first));
    }
    return most;
}

// Returns the bytes of the answer; none when the server crashes.
std::string serve(slots& state, server& self, record& log,
                  const message& request)
{
    std::unique_lock lock(state.mutex);
    const auto now = steady::now();
    if (state.is_cold && now >= state.cold_since + notice)
    {
        state.arrivals.push_back(now);
        const bool crashes = most_in_a_second(state.arrivals) > crash_arrivals;
        if (crashes && !std::exchange(state.has_crashed, true))
        {
            log.line("server i-0 crashes: more than %d requests in a second",
                     crash_arrivals);
            self.end();
        }
    }
    state.changed.wait(lock, [&] { return state.running < capacity; });
    ++state.running;
    const double factor = state.is_cold ? cold_factor : 1;
    lock.unlock();
    std::this_thread::sleep_for(work * factor);
    lock.lock();
    --state.running;
    state.changed.notify_one();
    std::string fields = "Server-Load: " + std::to_string(state.running) +
                         ",0," + std::to_string(capacity) + "\r\n";
    const auto left = std::chrono::duration_cast<milliseconds>(
        state.cold_since + cold_time - steady::now());
    if (state.is_cold && left > milliseconds(0))
        fields += "Warmup-Ms: " + std::to_string(left.count()) + "\r\n";
    return state.has_crashed ? ""
                             : self.answer(request, "200 OK", fields, "done");
}

void send_requests(totals& seen, const std::string& gateway, int number)
{
    client connection(gateway);
    for (int sent = 0; !seen.is_over; ++sent)
    {
        const auto id =
            "r" + std::to_string(number) + "-" + std::to_string(sent);
        const auto answer = connection.ask(
            "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
        const int status = answer ? answer->status() : 0;
        if (status == 200)
            ++seen.answered;
        else if (status == 503)
        {
            ++seen.refused;
            const auto wait = answer->field("Retry-After");
            pause(
                milliseconds(static_cast<int>(std::atof(wait.c_str()) * 1000)));
        }
        else
            ++seen.failed;
    }
}

}

int main(int argument_count, char** arguments)
{
    if (argument_count != 11)
        return exit_not_run;
    const std::string store = arguments[1];
    record log(arguments[9]);
    const bool has_trouble = std::string(arguments[10]) != "0";

    totals seen;
    std::vector<std::unique_ptr<slots>> states;
    std::vector<std::unique_ptr<server>> servers;
    for (int number = 0; number < server_count; ++number)
    {
        states.push_back(std::make_unique<slots>());
        servers.push_back(std::make_unique<server>(
            "i-" + std::to_string(number),
            std::string(arguments[8]) + "." + std::to_string(number + 1) +
                ":9701",
            [&, number](const message& request) {
                return serve(*states[number], *servers[number], log, request);
            }));
        write_entry(store, *servers.back(),
                    {.service = "plain", .capacity = capacity});
    }
    change_store(
        store, "/put?key=op/config",
        R"({"version":1,"routes":[)" +
            make_route("once", "/once/", "non_idempotent") +
            R"(],"services":[{"name":"plain","healthPath":"/health","maxConns":88,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":)" +
            std::to_string(warm_up_per_second) +
            R"(}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    for (int number = 0; number < gateway_count; ++number)
        wait_until_ready(arguments[5 + number]);
    pause(milliseconds(12000));

    std::vector<std::thread> clients;
    for (int number = 0; number < gateway_count * clients_per_gateway; ++number)
        clients.emplace_back(send_requests, std::ref(seen),
                             std::string(arguments[2 + number % gateway_count]),
                             number);
    pause(load_before);
    auto& cold = *states[0];
    time_point cold_since;
    {
        const std::lock_guard lock(cold.mutex);
        cold_since = steady::now();
        cold.cold_since = cold_since;
        cold.is_cold = has_trouble;
        log.line("server i-0 %s",
                 has_trouble ? "becomes cold again" : "stays warm");
    }
    if (has_trouble)
        write_entry(store, *servers[0],
                    {.service = "plain",
                     .capacity = capacity,
                     .warm_up_left_ms = cold_time.count(),
                     .sequence = 2});
    pause(cold_time);
    seen.is_over = true;
    for (auto& each : clients)
        each.join();

    const std::lock_guard lock(cold.mutex);
    for (int step = 0; step < 10; ++step)
    {
        const auto begin = cold_since + notice + milliseconds(100) * step;
        const auto count = std::count_if(
            cold.arrivals.begin(), cold.arrivals.end(),
            [begin](time_point each)
            { return each >= begin && each < begin + milliseconds(100); });
        log.line("arrivals at i-0 from %d ms on, in 100 ms: %d",
                 static_cast<int>(notice.count()) + step * 100,
                 static_cast<int>(count));
    }
    const int most = most_in_a_second(cold.arrivals);
    log.line("answered %d, refused %d, failed %d; most arrivals in a second "
             "from %d ms on: %d, allowed %d",
             seen.answered.load(), seen.refused.load(), seen.failed.load(),
             static_cast<int>(notice.count()), most, allowed);
    if (seen.answered == 0)
        return exit_not_run;
    const bool is_broken = most > allowed;
    std::printf("%s: %d arrivals in a second at the cold server, %d allowed; "
                "%d requests failed\n",
                is_broken ? "FAILBACK is broken" : "FAILBACK holds", most,
                allowed, seen.failed.load());
    std::fflush(stdout);
    std::_Exit(is_broken ? exit_broken : exit_held);
}
