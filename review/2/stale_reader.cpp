#include "../stand_ins/harness.hpp"

#include <atomic>
#include <sstream>

// Three gateways of one zone. The one that reads the store for the others is
// partitioned from the store, silently, for some seconds; the others reach the
// store all the time. Meanwhile the operator moves a route to another service,
// and a server of a second route drains.

namespace
{

using namespace review;

constexpr milliseconds settle_time{7000};
// Between the steps: an ordinary change, the cut, the change of the routes.
constexpr milliseconds step{100};
constexpr milliseconds cut_time{5500};
constexpr milliseconds observed{8000};
constexpr milliseconds request_interval{10};
constexpr milliseconds work_time{30};
constexpr unsigned clients_per_gateway = 6;
// One of receipt-desk's servers drains, another one is registered before.
constexpr int desk_servers = 7;
// configApplyMs and drainMs of the small installations, in seconds.
constexpr double config_apply = 3.0;
constexpr double drain_time = 3.0;
constexpr double never = 1e9;

struct run_entry
{
    std::string request;
    std::string server;
    double arrived = 0;
};

class run_log
{
public:
    void add(run_entry entry)
    {
        const std::lock_guard lock(this->mutex);
        this->entries.push_back(std::move(entry));
    }

    std::vector<run_entry> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->entries;
    }

private:
    std::mutex mutex;
    std::vector<run_entry> entries;
};

class server
{
public:
    server(const world& around, std::string name, run_log& runs, record& log)
        : id(std::move(name))
        , seen(runs)
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

private:
    void serve(connection& peer)
    {
        while (auto request = peer.read(milliseconds(60000)))
        {
            const auto request_id = request->header("Request-Id");
            const auto echo = "Request-Id: " + request_id + "\r\n";
            if (request->header("Target-Instance") != this->id)
            {
                peer.write(answer_text("421 Misdirected Request", echo, ""));
                continue;
            }
            this->seen.add({.request = request_id,
                            .server = this->id,
                            .arrived = this->events.seconds()});
            std::this_thread::sleep_for(work_time);
            if (!peer.write(answer_text("200 OK",
                                        echo +
                                            "Server-Load: 1,0,2\r\n"
                                            "Response-Seal: seal." +
                                            request_id + "\r\n",
                                        "done")))
                return;
        }
    }

    run_log& seen;
    record& events;
    listener sockets;
};

struct sent_request
{
    std::string gateway;
    double sent = 0;
};

struct sent_log
{
    std::mutex mutex;
    std::map<std::string, sent_request> by_id;
};

// Sends requests to both routes in turn until told to stop.
void run_client(const gateway_settings& gateway, unsigned client,
                sent_log& sent, record& events,
                const std::atomic<bool>& is_over)
{
    connection_ptr kept;
    for (unsigned count = 0; !is_over; ++count)
    {
        const std::string path = count % 2 == 0 ? "/rates/x" : "/labels/x";
        const auto id = gateway.name + "-" + std::to_string(client) + "-" +
                        std::to_string(count);
        if (!kept || kept->is_closed())
            kept = connect_to(gateway.front);
        {
            const std::lock_guard lock(sent.mutex);
            sent.by_id[id] = {.gateway = gateway.name,
                              .sent = events.seconds()};
        }
        if (!kept ||
            !kept->write("GET " + path +
                         " HTTP/1.1\r\nHost: shop.example\r\n"
                         "Request-Id: " +
                         id + "\r\nDeadline-Ms: 2000\r\n\r\n") ||
            !kept->read(milliseconds(3000)))
            kept.reset();
        std::this_thread::sleep_for(request_interval);
    }
}

std::string config(unsigned version, const std::string& rates_service)
{
    const auto route = [](const std::string& name, const std::string& service)
    {
        return R"({"name":")" + name +
               R"(","host":"shop.example","prefix":"/)" + name +
               R"(/","service":")" + service +
               R"(","routeKind":"idempotent","timeoutMs":2000,)"
               R"("targetLatencyMs":120,"priority":1,"maxAttempts":2})";
    };
    const auto service = [](const std::string& name)
    {
        return R"({"name":")" + name +
               R"(","healthPath":"/health","maxConns":110})";
    };
    return R"({"version":)" + std::to_string(version) +
           R"(,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":5000,"idleTimeoutMs":10000},"services":[)" +
           service("counter-a") + "," + service("counter-b") + "," +
           service("receipt-desk") + R"(],"routes":[)" +
           route("rates", rates_service) + "," +
           route("labels", "receipt-desk") + "]}";
}

class deployment
{
public:
    deployment(const world& outside, record& log)
        : around(outside)
        , events(log)
        , store(free_address(outside.ip(10)))
        , proxy(free_address(outside.ip(11)))
        , proxy_admin(free_address(outside.ip(11)))
    {
    }

    // Starts everything; false when a process does not answer.
    bool start()
    {
        this->children.push_back(start_store(this->around, this->store));
        if (!this->children.back())
            return false;
        this->children.push_back(std::make_unique<child>(
            std::vector<std::string>{
                this->around.programs + "/stand-in-silencer",
                "--routes=" + this->proxy + "=" + this->store,
                "--admin=" + this->proxy_admin},
            this->around.folder + "/proxy.log"));
        std::vector<std::string> names{"a-1", "a-2", "b-1"};
        for (int number = 1; number <= desk_servers + 1; ++number)
            names.push_back("r-" + std::to_string(number));
        for (const auto& name : names)
        {
            this->servers.push_back(std::make_unique<server>(
                this->around, name, this->runs, this->events));
            if (name != names.back())
                this->publish(*this->servers.back(), "ready", 1);
        }
        put(this->store, "op/config", config(1, "counter-a"));
        std::string seeds;
        for (int number = 1; number <= 3; ++number)
        {
            const auto ip = this->around.ip(number);
            this->gateways.push_back(
                {.name = "gateway-" + std::to_string(number),
                 .zone = "jm-mdv",
                 .front = free_address(ip),
                 .ready = free_address(ip),
                 .metrics = free_address(ip),
                 .control = free_address(ip),
                 .seeds = "",
                 .store = number == 1 ? this->proxy : this->store});
            seeds += (seeds.empty() ? "" : ",") + this->gateways.back().control;
        }
        for (auto& each : this->gateways)
        {
            each.seeds = seeds;
            this->children.push_back(start_gateway(this->around, each));
        }
        for (const auto& each : this->gateways)
            if (!wait_ready(each.ready, milliseconds(10000)))
                return false;
        return true;
    }

    void publish(const server& listed, const std::string& state,
                 unsigned sequence)
    {
        const auto service = listed.id[0] == 'r'
                                 ? "receipt-desk"
                                 : std::string("counter-") + listed.id[0];
        put(this->store, "servers/" + listed.id,
            server_entry(service, listed.address(), "jm-mdv", state, sequence,
                         2));
    }

    server& find(const std::string& id)
    {
        for (auto& each : this->servers)
            if (each->id == id)
                return *each;
        std::abort();
    }

    bool control_proxy(const std::string& body)
    {
        const auto answer =
            ask(this->proxy_admin,
                "POST /control HTTP/1.1\r\nHost: p\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body,
                milliseconds(1000));
        return answer && answer->status() == 200;
    }

    const world& around;
    record& events;
    std::string store;
    std::string proxy;
    std::string proxy_admin;
    run_log runs;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<gateway_settings> gateways;
    std::vector<child_ptr> children;
};

// When the store had acknowledged the changes.
struct acknowledged
{
    double config = never;
    double draining = never;
};

// Returns the exit status.
int judge(deployment& all, sent_log& sent, const acknowledged& at)
{
    unsigned old_service = 0;
    unsigned drained = 0;
    unsigned new_service = 0;
    double last_old = 0;
    double last_drained = 0;
    for (const auto& run : all.runs.all())
    {
        const auto& request = sent.by_id[run.request];
        // The first gateway is not in touch during the cut.
        if (request.gateway == all.gateways.front().name)
            continue;
        new_service += run.server == "b-1" ? 1 : 0;
        if (run.server[0] == 'a' && request.sent > at.config + config_apply)
        {
            ++old_service;
            last_old = std::max(last_old, request.sent - at.config);
        }
        if (run.server == "r-2" && run.arrived > at.draining + drain_time)
        {
            ++drained;
            last_drained = std::max(last_drained, run.arrived - at.draining);
        }
    }
    std::ostringstream text;
    text << "through gateways 2 and 3: " << old_service
         << " requests that were sent over 3.0 s after the ack of version 2 "
            "were run by the old service (the last one "
         << last_old << " s after it), " << drained
         << " requests reached r-2 over 3.0 s after the ack that it drains "
            "(the last one "
         << last_drained
         << " s after it); run by the new service: " << new_service;
    all.events.line(text.str());
    if (new_service == 0)
        return exit_not_run;
    return drained > 0 ? exit_broken : exit_held;
}

int run(const world& around, record& events)
{
    deployment all(around, events);
    if (!all.start())
        return exit_not_run;
    events.line("three gateways of one zone are ready; gateway-1 reads the "
                "store for the others");
    sent_log sent;
    std::atomic<bool> is_over{false};
    std::vector<std::thread> clients;
    for (const auto& each : all.gateways)
        for (unsigned client = 0; client < clients_per_gateway; ++client)
            clients.emplace_back(run_client, std::cref(each), client,
                                 std::ref(sent), std::ref(events),
                                 std::cref(is_over));
    std::this_thread::sleep_for(settle_time);
    all.publish(*all.servers.back(), "ready", 1);
    events.line("a new server, " + all.servers.back()->id + ", is registered");
    std::this_thread::sleep_for(step);
    const auto cut_at = steady::now();
    bool is_controlled = true;
    if (around.has_trouble)
    {
        is_controlled = all.control_proxy(
            R"({"silence_existing":true,"silence_new":true})");
        events.line("gateway-1 is partitioned from the store");
    }
    std::this_thread::sleep_for(step);
    acknowledged at;
    put(all.store, "op/config", config(2, "counter-b"));
    at.config = events.seconds();
    events.line("the store has acknowledged version 2: /rates/ goes to "
                "counter-b");
    all.publish(all.find("r-2"), "draining", 2);
    at.draining = events.seconds();
    events.line("the store has acknowledged that r-2 drains");
    std::this_thread::sleep_until(cut_at + cut_time);
    if (around.has_trouble)
    {
        is_controlled = all.control_proxy(
                            R"({"silence_new":false,"close_existing":true})") &&
                        is_controlled;
        events.line("the partition has healed");
    }
    std::this_thread::sleep_until(cut_at + observed);
    is_over = true;
    for (auto& each : clients)
        each.join();
    return is_controlled ? judge(all, sent, at) : exit_not_run;
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
