// Case: a store's answer that a short partition has held up arrives after the
// gateway has learned of later changes from a peer. Usage:
// late_store_answer STORE STORE_AT_GATEWAY_1 GATEWAY_1 READY_1 READY_2
//                   SERVER_STAYING SERVER_LEAVING RECORD TROUBLE

#include "common.hpp"

#include <condition_variable>

namespace
{

using namespace review;

// Bounds of the small deployments.
constexpr milliseconds drain_bound(3000);
constexpr milliseconds contact_bound(4000);
// The servers' interval of statements.
constexpr milliseconds statement_interval(1200);
// Work of a request, as a label lookup's: 120 ms in the mean, 720 ms at most.
constexpr milliseconds work(400);

// The partition, counted from the start of a call that waits for changes.
constexpr milliseconds partition_start(300);
constexpr milliseconds partition_length(1100);
// The statement and the removal that fall into it.
constexpr milliseconds last_statement(350);
constexpr milliseconds removal(700);

// How long after its removal the leaving server gets requests, and ends. The
// removal's bound is over by then, and gateway 1 is in touch again.
constexpr milliseconds late_requests_start(5500);
constexpr milliseconds server_end(5750);
constexpr milliseconds late_requests_end(7500);
constexpr int late_clients = 12;

// The link between a gateway and the store. During a partition it holds up
// bytes and connections in both directions; they arrive after it, as over TCP.
class store_link
{
public:
    store_link(const std::string& listen, std::string to)
        : target(std::move(to))
        , listener(listen_at(listen))
    {
        std::thread(
            [this]
            {
                for (;;)
                {
                    const int peer = ::accept(this->listener, nullptr, nullptr);
                    if (peer >= 0)
                        std::thread([this, peer] { this->serve(peer); })
                            .detach();
                }
            })
            .detach();
    }

    void set_partitioned(bool value)
    {
        const std::lock_guard lock(this->mutex);
        this->is_partitioned = value;
        this->changed.notify_all();
    }

    // Number of calls that wait for changes, so far.
    int watches() const
    {
        return this->watch_count;
    }

private:
    void wait_for_contact()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return !this->is_partitioned; });
    }

    void serve(int peer)
    {
        this->wait_for_contact();
        const int store = connect_to(this->target);
        if (store >= 0)
        {
            std::thread back([&] { this->copy(store, peer); });
            this->copy(peer, store);
            back.join();
            ::close(store);
        }
        ::close(peer);
    }

    void copy(int from, int to)
    {
        char bytes[16384];
        for (;;)
        {
            const auto count = ::recv(from, bytes, sizeof(bytes), 0);
            this->wait_for_contact();
            if (count <= 0)
                break;
            const std::string text(bytes, static_cast<std::size_t>(count));
            if (text.starts_with("GET /kv-watch"))
                ++this->watch_count;
            if (!send_all(to, text))
                break;
        }
        ::shutdown(to, SHUT_WR);
    }

    std::string target;
    int listener;
    std::mutex mutex;
    std::condition_variable changed;
    bool is_partitioned = false;
    std::atomic<int> watch_count{0};
};

std::string make_request(const std::string& id)
{
    return "POST /once/print HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n";
}

}

int main(int argument_count, char** arguments)
{
    if (argument_count != 10)
        return exit_not_run;
    const std::string store = arguments[1];
    const std::string gateway = arguments[3];
    record log(arguments[8]);
    const bool has_trouble = std::string(arguments[9]) != "0";

    store_link partitioned_link(arguments[2], store);
    std::atomic<bool> is_leaving = false;
    std::atomic<int> late_arrivals = 0;
    time_point removed_at{};
    time_point partition_end{};
    std::unique_ptr<server> leaving;
    server staying("i-stay", arguments[6],
                   [&](const message& request)
                   {
                       pause(work);
                       return staying.answer(request, "200 OK", "", "done");
                   });
    leaving = std::make_unique<server>(
        "i-leave", arguments[7],
        [&](const message& request)
        {
            const auto now = steady::now();
            const auto id = request.field("Request-Id");
            const bool is_late = is_leaving && now > removed_at + drain_bound &&
                                 now > partition_end + contact_bound;
            late_arrivals += is_late ? 1 : 0;
            log.line("server i-leave runs id=%s%s", id.c_str(),
                     is_late ? " -- later than drainMs after its removal" : "");
            pause(work);
            // A server that leaves says so in its answers.
            return leaving->answer(request, "200 OK",
                                   is_leaving ? "Server-Leaving: 1\r\n" : "",
                                   "done");
        });

    write_routes(store, make_route("once", "/once/", "non_idempotent"));
    write_entry(store, staying, {.service = "plain"});
    wait_until_ready(arguments[4]);
    wait_until_ready(arguments[5]);
    // The gateways find each other.
    pause(milliseconds(6000));

    entry stated{.service = "plain", .warm_up_left_ms = 3000};
    write_entry(store, *leaving, stated);
    log.line("server i-leave starts; the store lists it");
    pause(statement_interval);
    stated.sequence = 2;
    stated.warm_up_left_ms = 1800;
    write_entry(store, *leaving, stated);
    log.line("server i-leave states 1800 ms of warm-up left");
    pause(milliseconds(300));

    const int watches = partitioned_link.watches();
    while (partitioned_link.watches() == watches)
        pause(milliseconds(2));
    const auto watch_start = steady::now();
    std::this_thread::sleep_until(watch_start + partition_start);
    if (has_trouble)
    {
        partitioned_link.set_partitioned(true);
        log.line("gateway 1 is partitioned from the store");
    }
    std::this_thread::sleep_until(watch_start + last_statement);
    stated.sequence = 3;
    stated.warm_up_left_ms = 600;
    write_entry(store, *leaving, stated);
    log.line("server i-leave states 600 ms of warm-up left");
    std::this_thread::sleep_until(watch_start + removal);
    is_leaving = true;
    change_store(store, "/remove?key=servers/i-leave");
    removed_at = steady::now();
    log.line("server i-leave leaves: the store acknowledges the removal of its "
             "entry");
    std::this_thread::sleep_until(watch_start + partition_start +
                                  partition_length);
    partitioned_link.set_partitioned(false);
    partition_end = steady::now();
    if (has_trouble)
        log.line("the partition ends");

    std::this_thread::sleep_until(removed_at + late_requests_start);
    std::atomic<int> sent = 0;
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> clients;
    for (int number = 0; number < late_clients; ++number)
        clients.emplace_back(
            [&, number]
            {
                client connection(gateway);
                while (steady::now() < removed_at + late_requests_end)
                {
                    const auto id = "late" + std::to_string(number) + "-" +
                                    std::to_string(++sent);
                    const auto answer = connection.ask(make_request(id));
                    const int status = answer ? answer->status() : 0;
                    log.line("client gets %d for id=%s", status, id.c_str());
                    ++(status == 200 ? answered : lost);
                }
            });
    std::this_thread::sleep_until(removed_at + server_end);
    leaving->end();
    log.line("server i-leave ends");
    for (auto& each : clients)
        each.join();
    log.line("requests after the bound: %d, answered %d, without an answer or "
             "failed %d; arrivals at the server that had left: %d",
             sent.load(), answered.load(), lost.load(), late_arrivals.load());
    const bool is_broken = late_arrivals > 0;
    std::printf("%s: %d of %d requests reached the server later than drainMs "
                "after its removal; %d requests failed\n",
                is_broken ? "DRAIN is broken" : "DRAIN holds",
                late_arrivals.load(), sent.load(), lost.load());
    std::fflush(stdout);
    std::_Exit(is_broken ? exit_broken : exit_held);
}
