// Case: a server becomes cold again while no instance reaches another one.
// Usage: isolated_cold STORE GATEWAY_NETWORK GATEWAY_COUNT SERVER_NETWORK
// RECORD

#include "common.hpp"

#include <algorithm>
#include <random>

namespace
{

using namespace review;

constexpr int server_count = 2;
constexpr unsigned capacity = 6;
constexpr milliseconds work(60);
// While it is cold a server works this many times as long.
constexpr double cold_factor = 1.6;
// What a cold server tolerates a second, and what the rule allows of it.
constexpr double warm_up_per_second = 4;
constexpr double overload = 1.5;
constexpr double slack = 5;
constexpr int allowed = static_cast<int>(warm_up_per_second * overload + slack);
constexpr milliseconds cold_time(3000);
// The server's next statement to the store; it writes one each 1200 ms.
constexpr milliseconds next_statement(1000);

// Of all clients together.
constexpr double requests_per_second = 72;
constexpr milliseconds load_before(8000);
// The gateways find each other, or settle alone, before the load begins.
constexpr milliseconds settling(14000);

struct shared
{
    std::mutex mutex;
    bool is_cold = false;
    time_point cold_since{};
    std::vector<time_point> cold_arrivals;
    std::map<int, int> statuses;
    std::atomic<bool> is_over{false};
};

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

std::string serve(shared& state, record& log, const server& self,
                  bool may_be_cold, const message& request)
{
    bool is_cold = false;
    {
        const std::lock_guard lock(state.mutex);
        is_cold = may_be_cold && state.is_cold;
        if (is_cold)
        {
            state.cold_arrivals.push_back(steady::now());
            log.line("arrival %zu at the cold server: id=%s",
                     state.cold_arrivals.size(),
                     request.field("Request-Id").c_str());
        }
    }
    std::this_thread::sleep_for(work * (is_cold ? cold_factor : 1.0));
    std::string fields;
    const std::lock_guard lock(state.mutex);
    const auto left = std::chrono::duration_cast<milliseconds>(
        state.cold_since + cold_time - steady::now());
    if (may_be_cold && state.is_cold && left > milliseconds(0))
        fields = "Warmup-Ms: " + std::to_string(left.count()) + "\r\n";
    return self.answer(request, "200 OK", fields, "done");
}

void send_requests(shared& state, const std::string& gateway, int number,
                   double per_second)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(number) + 1);
    std::exponential_distribution<double> gap(per_second);
    client connection(gateway);
    for (int sent = 0; !state.is_over; ++sent)
    {
        pause(milliseconds(static_cast<int>(gap(random) * 1000)));
        const auto id =
            "r" + std::to_string(number) + "-" + std::to_string(sent);
        const auto answer = connection.ask(
            "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n");
        const std::lock_guard lock(state.mutex);
        ++state.statuses[answer ? answer->status() : 0];
    }
}

}

int main(int argument_count, char** arguments)
{
    if (argument_count != 6)
        return exit_not_run;
    const std::string store = arguments[1];
    const int gateway_count = std::atoi(arguments[3]);
    record log(arguments[5]);
    shared state;

    std::vector<std::unique_ptr<server>> servers;
    for (int number = 0; number < server_count; ++number)
    {
        servers.push_back(std::make_unique<server>(
            "i-" + std::to_string(number),
            std::string(arguments[4]) + "." + std::to_string(number + 1) +
                ":9701",
            [&, number](const message& request) {
                return serve(state, log, *servers[number], number == 0,
                             request);
            }));
        write_entry(store, *servers.back(),
                    {.service = "plain", .capacity = capacity});
    }
    change_store(
        store, "/put?key=op/config",
        R"({"version":1,"routes":[)" +
            make_route("once", "/once/", "non_idempotent") +
            R"(],"services":[{"name":"plain","healthPath":"/health","maxConns":610,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":)" +
            std::to_string(warm_up_per_second) +
            R"(}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    std::vector<std::string> gateways;
    for (int number = 1; number <= gateway_count; ++number)
    {
        const auto host =
            std::string(arguments[2]) + "." + std::to_string(number);
        wait_until_ready(host + ":8227");
        gateways.push_back(host + ":8226");
    }
    pause(settling);

    std::vector<std::thread> clients;
    for (int number = 0; number < gateway_count * 2; ++number)
        clients.emplace_back(send_requests, std::ref(state),
                             gateways[number % gateway_count], number,
                             requests_per_second / (2 * gateway_count));
    pause(load_before);
    {
        const std::lock_guard lock(state.mutex);
        state.is_cold = true;
        state.cold_since = steady::now();
        log.line("server i-0 becomes cold again");
    }
    pause(next_statement);
    write_entry(store, *servers[0],
                {.service = "plain",
                 .capacity = capacity,
                 .warm_up_left_ms = static_cast<unsigned>(
                     (cold_time - next_statement).count()),
                 .sequence = 2});
    log.line("server i-0 states it in the store");
    pause(cold_time - next_statement);
    {
        const std::lock_guard lock(state.mutex);
        state.is_cold = false;
    }
    state.is_over = true;
    for (auto& each : clients)
        each.join();

    const std::lock_guard lock(state.mutex);
    for (const auto& [status, count] : state.statuses)
        log.line("clients got %d: %d times", status, count);
    const int most = most_in_a_second(state.cold_arrivals);
    log.line("arrivals while cold: %zu; most in a second: %d, allowed %d",
             state.cold_arrivals.size(), most, allowed);
    if (state.statuses[200] == 0)
        return exit_not_run;
    const bool is_broken = most > allowed;
    std::printf("%s: %d arrivals in a second at the cold server, %d allowed\n",
                is_broken ? "FAILBACK is broken" : "FAILBACK holds", most,
                allowed);
    std::fflush(stdout);
    std::_Exit(is_broken ? exit_broken : exit_held);
}
