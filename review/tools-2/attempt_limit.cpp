// Case: more servers run a request than its route's maxAttempts. Usage:
// attempt_limit STORE GATEWAY READY SERVER_NETWORK RECORD TROUBLE

#include "common.hpp"

#include <random>

namespace
{

using namespace review;

constexpr int server_count = 10;
// The site file's largest share of the servers of a service in trouble is 0.8.
constexpr int troubled_servers = 8;
constexpr unsigned max_attempts = 2;
// The rule tolerates as many requests.
constexpr int tolerated = 3;
constexpr milliseconds work(60);
// Parts of the requests that servers in trouble fail, and turn away; the site
// file's largest part is 0.6.
constexpr double failed_part = 0.1;
constexpr double rejected_part = 0.04;
constexpr const char* retry_after = "0.5";

constexpr int client_count = 240;
constexpr double requests_per_second = 2000;
// Trouble comes in spells as long as the site file's longest, with sound
// servers between them.
constexpr int spells = 6;
constexpr std::chrono::seconds spell(9);
constexpr std::chrono::seconds between(2);
constexpr auto length = spells * (spell + between);

// The servers that ran each request.
struct ledger
{
    time_point load_start{};
    std::mutex mutex;
    std::mt19937_64 random{7};
    std::map<std::string, std::vector<std::string>> runs;
    std::map<int, int> statuses;
    int rejections = 0;
};

double draw(ledger& seen)
{
    return std::uniform_real_distribution<double>()(seen.random);
}

// True for the requests that every server in trouble fails.
bool is_failed(const std::string& id)
{
    constexpr std::size_t steps = 1000;
    return std::hash<std::string>()(id) % steps <
           static_cast<std::size_t>(failed_part * steps);
}

bool is_in_spell(const ledger& seen)
{
    return (steady::now() - seen.load_start) % (spell + between) < spell;
}

std::string serve(ledger& seen, const server& self, bool may_be_troubled,
                  const message& request)
{
    const bool is_troubled = may_be_troubled && is_in_spell(seen);
    const auto id = request.field("Request-Id");
    {
        const std::lock_guard lock(seen.mutex);
        if (is_troubled && draw(seen) < rejected_part)
        {
            ++seen.rejections;
            return self.answer(request, "503 Service Unavailable",
                               std::string("Not-Executed: 1\r\n") +
                                   "Retry-After: " + retry_after + "\r\n",
                               "");
        }
        seen.runs[id].push_back(self.id);
    }
    pause(work);
    if (is_troubled && is_failed(id))
        return self.answer(request, "500 Internal Server Error", "", "");
    return self.answer(request, "200 OK", "", "done");
}

void send_requests(ledger& seen, const std::string& gateway, int number,
                   time_point end)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(number) + 1);
    std::exponential_distribution<double> gap(requests_per_second /
                                              client_count);
    client connection(gateway);
    for (int sent = 0; steady::now() < end; ++sent)
    {
        const auto id =
            "r" + std::to_string(number) + "-" + std::to_string(sent);
        const auto answer = connection.ask(
            "GET /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 8000\r\n\r\n");
        {
            const std::lock_guard lock(seen.mutex);
            ++seen.statuses[answer ? answer->status() : 0];
        }
        pause(milliseconds(static_cast<int>(gap(random) * 1000)));
    }
}

}

int main(int argument_count, char** arguments)
{
    if (argument_count != 7)
        return exit_not_run;
    const std::string store = arguments[1];
    const std::string gateway = arguments[2];
    record log(arguments[5]);
    const bool has_trouble = std::string(arguments[6]) != "0";
    ledger seen;

    std::vector<std::unique_ptr<server>> servers;
    for (int number = 0; number < server_count; ++number)
    {
        const bool is_troubled = has_trouble && number < troubled_servers;
        servers.push_back(std::make_unique<server>(
            "i-" + std::to_string(number),
            std::string(arguments[4]) + "." + std::to_string(number + 1) +
                ":9701",
            [&, number, is_troubled](const message& request)
            { return serve(seen, *servers[number], is_troubled, request); }));
        write_entry(store, *servers.back(),
                    {.service = "plain", .capacity = 2});
    }
    write_routes(store, make_route("read", "/read/", "idempotent"));
    wait_until_ready(arguments[3]);
    // Retries are held back in the first seconds of a gateway.
    pause(milliseconds(12000));

    seen.load_start = steady::now();
    std::vector<std::thread> clients;
    for (int number = 0; number < client_count; ++number)
        clients.emplace_back(send_requests, std::ref(seen), gateway, number,
                             seen.load_start + length);
    for (auto& each : clients)
        each.join();

    const std::lock_guard lock(seen.mutex);
    int beyond = 0;
    for (const auto& [id, runs] : seen.runs)
    {
        const std::set<std::string> distinct(runs.begin(), runs.end());
        if (distinct.size() <= max_attempts)
            continue;
        ++beyond;
        std::string text;
        for (const auto& each : runs)
            text += " " + each;
        log.line("request %s has run on%s", id.c_str(), text.c_str());
    }
    for (const auto& [status, count] : seen.statuses)
        log.line("clients got %d: %d times", status, count);
    log.line("rejections with Retry-After: %d; requests that ran: %zu; on more "
             "than %u servers: %d",
             seen.rejections, seen.runs.size(), max_attempts, beyond);
    const bool is_broken = beyond > tolerated;
    std::printf("%s: %d of %zu requests ran on more than %u servers\n",
                is_broken ? "BUDGET is broken" : "BUDGET holds", beyond,
                seen.runs.size(), max_attempts);
    std::fflush(stdout);
    std::_Exit(is_broken ? exit_broken : exit_held);
}
