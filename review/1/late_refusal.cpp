#include "../stand_ins/harness.hpp"

#include <atomic>
#include <set>
#include <sstream>

// Non-idempotent requests through two gateways to a service of two servers. One
// server is in trouble: it sends some of its answers a second time, late, where
// the next answer on that connection is expected. The only answers that it
// repeats in this case are refusals: it was full, and has room again when the
// gateway offers it the same request once more.

namespace
{

using namespace review;

constexpr milliseconds work_time{30};
// From the arrival of a request until the second copy of the answer before it.
constexpr milliseconds copy_delay{5};
constexpr milliseconds request_interval{10};
constexpr milliseconds warm_up{11000};
constexpr milliseconds measured{28000};
// One of so many requests meets two full servers.
constexpr unsigned requests_per_full_moment = 60;
constexpr unsigned clients_per_gateway = 2;
constexpr int server_count = 2;

struct request_history
{
    std::vector<std::string> runs;
    int status = 0;
};

class histories
{
public:
    void add_run(const std::string& id, const std::string& server)
    {
        const std::lock_guard lock(this->mutex);
        this->by_id[id].runs.push_back(server);
    }

    void set_status(const std::string& id, int status)
    {
        const std::lock_guard lock(this->mutex);
        this->by_id[id].status = status;
    }

    std::map<std::string, request_history> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->by_id;
    }

private:
    std::mutex mutex;
    std::map<std::string, request_history> by_id;
};

class server
{
public:
    server(const world& around, std::string name, bool repeats, histories& seen,
           record& log)
        : id(std::move(name))
        , repeats_answers(repeats)
        , history(seen)
        , events(log)
        , sockets(around.ip(20),
                  [this](connection& peer) { this->serve(peer); })
    {
    }

    const std::string& address() const
    {
        return this->sockets.address();
    }

    std::string id;
    std::atomic<unsigned> answers{0};
    std::atomic<unsigned> copies{0};

private:
    // Returns whether the server is full, as it is when one of the chosen
    // requests arrives here for the first time.
    bool is_full_for(const std::string& request)
    {
        const std::lock_guard lock(this->mutex);
        return request.starts_with("full") &&
               this->refused.insert(request).second;
    }

    void serve(connection& peer)
    {
        std::string late_copy;
        while (auto request = peer.read(milliseconds(60000)))
        {
            const auto request_id = request->header("Request-Id");
            const auto echo = "Request-Id: " + request_id + "\r\n";
            if (request->header("Target-Instance") != this->id)
            {
                peer.write(answer_text(
                    "421 Misdirected Request",
                    echo + "Instance-Id: " + this->id + "\r\n", ""));
                continue;
            }
            const bool is_chosen = request_id.starts_with("full");
            if (this->is_full_for(request_id))
            {
                const auto refusal = answer_text(
                    "503 Service Unavailable",
                    echo + "Not-Executed: 1\r\nServer-Load: 2,8,2\r\n", "");
                this->events.line(this->id + " is full and refuses " +
                                  request_id);
                ++this->answers;
                peer.write(refusal);
                late_copy = this->repeats_answers ? refusal : "";
                continue;
            }
            if (is_chosen)
                this->events.line(this->id + " runs " + request_id);
            this->history.add_run(request_id, this->id);
            if (!late_copy.empty())
            {
                std::this_thread::sleep_for(copy_delay);
                this->events.line(this->id +
                                  " sends its last answer a second time");
                ++this->copies;
                peer.write(std::exchange(late_copy, ""));
            }
            std::this_thread::sleep_for(work_time);
            ++this->answers;
            if (!peer.write(answer_text("200 OK",
                                        echo +
                                            "Server-Load: 1,0,2\r\n"
                                            "Response-Seal: seal." +
                                            request_id + "\r\n",
                                        "done " + request_id)))
                return;
        }
    }

    bool repeats_answers;
    histories& history;
    record& events;
    std::mutex mutex;
    std::set<std::string> refused;
    listener sockets;
};

// Sends requests over a kept connection, one after the other.
void run_client(const std::string& gateway, unsigned number, histories& seen,
                record& events)
{
    connection_ptr kept;
    const auto started = steady::now();
    const auto end = started + warm_up + measured;
    for (unsigned count = 1; steady::now() < end; ++count)
    {
        // The full moments of the clients are apart.
        const auto moment = count + number * requests_per_full_moment / 4;
        const bool is_chosen = moment % requests_per_full_moment == 0 &&
                               steady::now() > started + warm_up;
        const auto id = (is_chosen ? "full-" : "plain-") +
                        std::to_string(number) + "-" + std::to_string(count);
        if (!kept || kept->is_closed())
            kept = connect_to(gateway);
        const std::string body = "label of " + id;
        std::optional<message> answer;
        if (kept &&
            kept->write("POST /labels/print HTTP/1.1\r\nHost: shop.example\r\n"
                        "Request-Id: " +
                        id + "\r\nDeadline-Ms: 8000\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body))
            answer = kept->read(milliseconds(9000));
        seen.set_status(id, answer ? answer->status() : 0);
        if (is_chosen)
            events.line("the client gets " +
                        (answer ? answer->second_word() : "no answer") +
                        " to " + id);
        if (!answer)
            kept.reset();
        std::this_thread::sleep_for(request_interval);
    }
}

bool is_promise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

// Writes which rules were broken and returns the exit status.
int judge(const std::map<std::string, request_history>& seen, record& events)
{
    unsigned twice = 0;
    unsigned refused = 0;
    unsigned answered = 0;
    for (const auto& [id, each] : seen)
    {
        std::ostringstream runs;
        for (const auto& server : each.runs)
            runs << ' ' << server;
        answered += each.status == 200 ? 1 : 0;
        if (each.runs.size() > 1)
        {
            ++twice;
            events.line("TWICE: " + id + " has run at" + runs.str());
        }
        if (is_promise(each.status) && !each.runs.empty())
        {
            ++refused;
            events.line("REFUSED: " + id + " was answered " +
                        std::to_string(each.status) + " and has run at" +
                        runs.str());
        }
    }
    events.line("requests: " + std::to_string(seen.size()) +
                ", answered 200: " + std::to_string(answered) +
                ", run twice: " + std::to_string(twice) +
                ", refused and run: " + std::to_string(refused));
    return twice + refused > 0 ? exit_broken : exit_held;
}

int run(const world& around, record& events)
{
    const auto store_address = free_address(around.ip(10));
    const auto store = start_store(around, store_address);
    if (!store)
        return exit_not_run;
    histories seen;
    std::vector<std::unique_ptr<server>> servers;
    for (int number = 1; number <= server_count; ++number)
    {
        const bool repeats = number == 1 && around.has_trouble;
        servers.push_back(std::make_unique<server>(
            around, "i-" + std::to_string(number), repeats, seen, events));
        const auto& added = *servers.back();
        put(store_address, "servers/" + added.id,
            server_entry("receipt-desk", added.address(),
                         "z" + std::to_string(number), "ready", 1, 2));
    }
    put(store_address, "op/config",
        R"({"version":1,"limits":{"maxHeaderBytes":16384,)"
        R"("maxBodyBytes":262144,"headerTimeoutMs":5000,)"
        R"("idleTimeoutMs":10000},"services":[{"name":"receipt-desk",)"
        R"("healthPath":"/health","maxConns":110}],"routes":[)"
        R"({"name":"labels","host":"shop.example","prefix":"/labels/",)"
        R"("service":"receipt-desk","routeKind":"non_idempotent",)"
        R"("timeoutMs":8000,"targetLatencyMs":500,"priority":2,)"
        R"("maxAttempts":2}]})");
    std::vector<child_ptr> gateways;
    std::vector<gateway_settings> settings;
    std::string seeds;
    for (int number = 1; number <= 2; ++number)
    {
        const auto ip = around.ip(number);
        settings.push_back({.name = "gateway-" + std::to_string(number),
                            .zone = "z1",
                            .front = free_address(ip),
                            .ready = free_address(ip),
                            .metrics = free_address(ip),
                            .control = free_address(ip),
                            .seeds = "",
                            .store = store_address});
        seeds += (seeds.empty() ? "" : ",") + settings.back().control;
    }
    for (auto& each : settings)
    {
        each.seeds = seeds;
        gateways.push_back(start_gateway(around, each));
    }
    for (const auto& each : settings)
        if (!wait_ready(each.ready, milliseconds(10000)))
            return exit_not_run;
    events.line("two gateways and two servers are ready");
    std::vector<std::thread> clients;
    unsigned number = 0;
    for (const auto& each : settings)
        for (unsigned client = 0; client < clients_per_gateway; ++client)
            clients.emplace_back(run_client, each.front, ++number,
                                 std::ref(seen), std::ref(events));
    for (auto& each : clients)
        each.join();
    for (const auto& each : servers)
        events.line(each->id + ": answers " + std::to_string(each->answers) +
                    ", of which sent a second time " +
                    std::to_string(each->copies));
    if (around.has_trouble && servers.front()->copies == 0)
        return exit_not_run;
    return judge(seen.all(), events);
}

}

int main(int argument_count, char** arguments)
{
    if (argument_count != 2)
        return exit_not_run;
    const auto around = make_world();
    record events(arguments[1]);
    const int status = run(around, events);
    events.line("exit status " + std::to_string(status));
    // Threads that serve connections still run; the processes have ended.
    std::_Exit(status);
}
