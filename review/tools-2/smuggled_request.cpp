// Case: a request inside the body of another one. Usage:
// smuggled_request STORE GATEWAY READY SERVER_1 SERVER_2 RECORD TROUBLE

#include "common.hpp"

namespace
{

using namespace review;

constexpr int uploads = 20;

// What the clients have sent and the servers have run.
struct ledger
{
    std::mutex mutex;
    std::map<std::string, std::string> sent_bodies;
    int unknown_runs = 0;
    int changed_runs = 0;
};

// The body of an upload: a text that happens to read like a request.
std::string make_body(int number)
{
    return "POST /once/pay HTTP/1.1\r\nHost: h\r\nRequest-Id: inner" +
           std::to_string(number) +
           "\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
}

std::string make_upload(const std::string& id, const std::string& body,
                        bool has_trouble)
{
    const std::string head = "POST /upload/file HTTP/1.1\r\nHost: h\r\n"
                             "Request-Id: " +
                             id + "\r\nDeadline-Ms: 4000\r\n";
    if (has_trouble)
        return head + "Transfer-Encoding: gzip\r\n\r\n" + body;
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return head + "Transfer-Encoding: chunked\r\n\r\n" + size + body +
           "\r\n0\r\n\r\n";
}

}

int main(int argument_count, char** arguments)
{
    if (argument_count != 8)
        return exit_not_run;
    const std::string store = arguments[1];
    const std::string gateway = arguments[2];
    record log(arguments[6]);
    const bool has_trouble = std::string(arguments[7]) != "0";
    ledger seen;

    std::vector<std::unique_ptr<server>> servers;
    for (int number = 1; number <= 2; ++number)
    {
        auto* added =
            servers
                .emplace_back(std::make_unique<server>(
                    "i-" + std::to_string(number), arguments[3 + number],
                    [&, number](const message& request)
                    {
                        const auto id = request.field("Request-Id");
                        const std::lock_guard lock(seen.mutex);
                        const auto sent = seen.sent_bodies.find(id);
                        const char* verdict = "";
                        if (sent == seen.sent_bodies.end())
                        {
                            ++seen.unknown_runs;
                            verdict = " -- no client sent this id";
                        }
                        else if (sent->second != request.body)
                        {
                            ++seen.changed_runs;
                            verdict = " -- with another body than was sent";
                        }
                        log.line("server i-%d runs \"%s\" id=%s body=%zu%s",
                                 number, request.first_line.c_str(), id.c_str(),
                                 request.body.size(), verdict);
                        return servers[number - 1]->answer(request, "200 OK",
                                                           "", "done");
                    }))
                .get();
        write_entry(store, *added, {.service = "plain"});
    }
    write_routes(store, make_route("upload", "/upload/", "non_idempotent") +
                            "," +
                            make_route("once", "/once/", "non_idempotent"));
    wait_until_ready(arguments[3]);

    int answers = 0;
    for (int number = 1; number <= uploads; ++number)
    {
        const auto id = "outer" + std::to_string(number);
        const auto body = make_body(number);
        {
            const std::lock_guard lock(seen.mutex);
            seen.sent_bodies[id] = body;
        }
        client connection(gateway);
        log.line("client sends \"POST /upload/file\" id=%s body=%zu",
                 id.c_str(), body.size());
        const auto answer = connection.ask(make_upload(id, body, has_trouble));
        answers += answer ? 1 : 0;
        log.line("client gets %d for id=%s", answer ? answer->status() : 0,
                 id.c_str());
        // Keeps the connection open while what follows is handled.
        pause(milliseconds(100));
    }
    const std::lock_guard lock(seen.mutex);
    log.line("uploads %d, answered %d; runs of ids that no client sent: %d; "
             "runs with another body: %d",
             uploads, answers, seen.unknown_runs, seen.changed_runs);
    const bool is_broken = seen.unknown_runs > 0 || seen.changed_runs > 0;
    std::printf("%s: %d uploads, %d runs of ids that no client sent, %d runs "
                "with another body\n",
                is_broken ? "UNASKED is broken" : "UNASKED holds", uploads,
                seen.unknown_runs, seen.changed_runs);
    // Threads of open connections are left to the end of the process.
    std::fflush(stdout);
    std::_Exit(is_broken ? exit_broken : exit_held);
}
