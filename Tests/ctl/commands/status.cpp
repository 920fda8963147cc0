#include "ctl/commands/command.hpp"
#include "net/http_server.hpp"

#include <doctest/doctest.h>
#include <sstream>

using namespace wisteriahatch;
using namespace wisteriahatch::ctl;

namespace
{

// An admin port that answers every request with one reply.
class admin_port
{
public:
    admin_port(worker_pool& workers, http_reply reply)
        : server(workers,
                 {.listen = {boost::asio::ip::make_address("127.0.0.1"), 0}},
                 [reply = std::move(reply)](
                     http_request request) -> boost::asio::awaitable<http_reply>
                 {
                     auto answer = reply;
                     if (request.method != "GET" || request.target != "/status")
                         answer.status = 404;
                     co_return answer;
                 })
    {
        REQUIRE(this->server.start());
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->server.endpoint().port());
    }

private:
    http_server server;
};

std::string body(const std::string& serial)
{
    return R"({"address":"127.0.0.1:80","ready":true,"document_serial":)" +
           serial + R"(,"document_digest":"ff"})";
}

exit_code run(std::vector<std::string> arguments, std::string& output)
{
    std::ostringstream printed;
    std::ostringstream errors;
    arguments.insert(arguments.begin(), "status");
    const auto status =
        run_command({.arguments = std::move(arguments),
                     .output = printed,
                     .errors = errors,
                     .timeout = std::chrono::milliseconds(2000)});
    output = printed.str() + errors.str();
    return status;
}

}

// Guards against a request that instances don't answer, and against an exit
// status of success while an instance is down or replies with an error.
TEST_CASE("status queries each instance and compares their documents")
{
    worker_pool workers(1);
    workers.start();
    {
        const admin_port first(workers, {.body = body("3")});
        const admin_port second(workers, {.body = body("3")});
        const admin_port behind(workers, {.body = body("2")});
        const admin_port other(workers, {.status = 500, .body = body("3")});
        std::string output;
        CHECK(run({first.address(), second.address()}, output) ==
              exit_code::success);
        CHECK(output.find("2 of 2 instances answered, 2 ready, 1 document") !=
              std::string::npos);
        CHECK(run({first.address(), behind.address()}, output) ==
              exit_code::refused);
        CHECK(output.find("2 different documents") != std::string::npos);
        CHECK(run({first.address(), other.address()}, output) ==
              exit_code::refused);
        CHECK(output.find("HTTP status 500") != std::string::npos);
        // Port 1 of the loopback address has no listener.
        CHECK(run({first.address(), "127.0.0.1:1"}, output) ==
              exit_code::refused);
        CHECK(output.find("127.0.0.1:1 no status: ") != std::string::npos);
        CHECK(run({first.address(), "localhost"}, output) ==
              exit_code::usage_error);
    }
    workers.stop();
}
