#include "net/beast.hpp"
#include "net/http_client.hpp"
#include "StandIns/crowd/memory_watch.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(address, "", "IP:PORT to connect to");
DEFINE_int32(connections, 1, "number of connections");
DEFINE_string(pattern, "idle",
              "what each connection sends; \"mixed\" plays all patterns");
DEFINE_string(path, "/p/x", "path of the requests");
DEFINE_string(content, "", "body of the request in pattern \"behind\"");
DEFINE_bool(reconnect, false, "open a connection again when it is closed");
DEFINE_int32(watch_pid, 0, "process whose memory is printed");
DEFINE_int32(bytes, 0, "bytes that each connection sends after its headers");
DEFINE_int32(hold_s, 60, "seconds until the program ends");

namespace
{

using namespace wisteriahatch;

// Sends that are still blocked after this time count as ended.
constexpr std::chrono::seconds send_time{8};
// Time between two bytes of a connection that sends slowly.
constexpr std::chrono::milliseconds slow_interval{100};

// Connections that replace one that was closed, and the time before each.
constexpr int max_reconnects = 200;
constexpr std::chrono::milliseconds reconnect_interval{20};
constexpr std::chrono::milliseconds watch_interval{50};
// Replies that are not read fill the sender's buffers instead of this one.
constexpr int unread_buffer_bytes = 4096;

// What a connection sends: the head, then the unit again and again. Only
// "pipelined", "unread", "behind" and "complete" complete a request.
struct pattern
{
    std::string name;
    std::string head;
    std::string unit;
    bool reads_replies = true;
    // Continues with one byte of the unit at a time.
    bool is_slow = false;
    // The units are the whole body of the request in the head.
    bool is_complete = false;
};

std::vector<pattern> make_patterns()
{
    const auto head = [](const std::string& method)
    {
        return method + " " + FLAGS_path +
               " HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n";
    };
    const auto get = head("GET") + "\r\n";
    const auto post = head("POST");
    const auto chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const auto served =
        post + "Content-Length: " + std::to_string(FLAGS_content.size()) +
        "\r\n\r\n" + FLAGS_content;
    const auto sized = post + "Content-Length: ";
    const std::string block(1024, 'x');
    return {
        {"large_chunks", chunked,
         "4000\r\n" + std::string(16384, 'x') + "\r\n"},
        {"small_chunks", chunked, "1\r\nx\r\n"},
        {"extensions", chunked + "1;", block},
        {"trailers", chunked + "0\r\n",
         "A: " + std::string(1000, 'x') + "\r\n"},
        {"slow_headers", post, "A: " + std::string(100, 'x') + "\r\n", true,
         true},
        {"withheld", sized + "262144\r\n\r\n", block},
        {"pipelined", "", get},
        {"unread", "", get, false},
        {"idle", "", ""},
        {"behind", served + chunked + "ffffff\r\n", block},
        {"complete", sized, block, true, false, true},
    };
}

struct crowd
{
    asio::io_context context;
    tcp::endpoint address;
    std::vector<pattern> patterns;
    // What a connection of each pattern sends at once.
    std::vector<std::string> payloads;
    int sending = 0;
};

std::string make_payload(const pattern& chosen, std::size_t bytes)
{
    auto payload = chosen.head;
    if (chosen.is_complete)
        payload +=
            std::to_string(bytes / chosen.unit.size() * chosen.unit.size()) +
            "\r\n\r\n";
    const auto end = payload.size() + bytes;
    while (!chosen.unit.empty() && payload.size() + chosen.unit.size() <= end)
        payload += chosen.unit;
    return payload;
}

// Keeps the connection open until the peer closes it.
asio::awaitable<void> hold(tcp::socket& socket, const pattern& chosen)
{
    error_code failure;
    asio::steady_timer timer(socket.get_executor());
    for (std::size_t sent = 0; chosen.is_slow && !failure; ++sent)
    {
        timer.expires_after(slow_interval);
        co_await timer.async_wait(store_error(failure));
        auto next = asio::buffer(&chosen.unit[sent % chosen.unit.size()], 1);
        co_await asio::async_write(socket, next, store_error(failure));
    }
    std::array<char, 4096> discarded{};
    auto target = asio::buffer(discarded);
    while (!failure && chosen.reads_replies)
        co_await socket.async_read_some(target, store_error(failure));
    if (!chosen.reads_replies)
        co_await socket.async_wait(tcp::socket::wait_error,
                                   store_error(failure));
}

// Opens one connection, sends the payload and keeps the connection until the
// peer closes it.
asio::awaitable<void> play(crowd& shared, std::size_t index, bool is_first)
{
    error_code failure;
    tcp::socket socket(shared.context);
    socket.open(tcp::v4(), failure);
    if (!shared.patterns[index].reads_replies)
        socket.set_option(
            asio::socket_base::receive_buffer_size(unread_buffer_bytes),
            failure);
    co_await socket.async_connect(shared.address, store_error(failure));
    if (!failure)
        co_await asio::async_write(socket, asio::buffer(shared.payloads[index]),
                                   store_error(failure));
    if (is_first && --shared.sending == 0)
        std::cout << "sent" << std::endl;
    if (!failure)
        co_await hold(socket, shared.patterns[index]);
}

asio::awaitable<void> run_connection(crowd& shared, std::size_t index)
{
    co_await play(shared, index, true);
    error_code ignored;
    asio::steady_timer timer(shared.context);
    for (int again = 0; FLAGS_reconnect && again < max_reconnects; ++again)
    {
        timer.expires_after(reconnect_interval);
        co_await timer.async_wait(store_error(ignored));
        co_await play(shared, index, false);
    }
}

// Prints the highest memory of the watched process so far.
asio::awaitable<void> watch(crowd& shared)
{
    error_code ignored;
    memory_watch watched(FLAGS_watch_pid, shared.address.address().to_v4());
    asio::steady_timer timer(shared.context);
    while (watched.sample())
    {
        const auto& peak = watched.peak();
        std::cout << "peak_kb " << peak.resident_kb + peak.kernel_kb
                  << " resident_kb " << peak.resident_kb << " kernel_kb "
                  << peak.kernel_kb << std::endl;
        timer.expires_after(watch_interval);
        co_await timer.async_wait(store_error(ignored));
    }
}

// Keeps the patterns that the flag chooses.
result<std::vector<pattern>> choose_patterns()
{
    auto patterns = make_patterns();
    if (FLAGS_pattern == "mixed")
        return patterns;
    std::erase_if(patterns, [](const pattern& each)
                  { return each.name != FLAGS_pattern; });
    if (patterns.empty())
        return error{error_kind::invalid_settings,
                     "unknown pattern \"" + FLAGS_pattern + "\""};
    return patterns;
}

result<void> run()
{
    crowd shared;
    BOOST_OUTCOME_TRY(shared.address, parse_endpoint(FLAGS_address));
    BOOST_OUTCOME_TRY(shared.patterns, choose_patterns());
    for (const auto& each : shared.patterns)
        shared.payloads.push_back(
            make_payload(each, static_cast<std::size_t>(FLAGS_bytes)));
    shared.sending = FLAGS_connections;
    if (FLAGS_watch_pid != 0)
        asio::co_spawn(shared.context, watch(shared), asio::detached);
    for (int number = 0; number < FLAGS_connections; ++number)
        asio::co_spawn(shared.context,
                       run_connection(shared, static_cast<std::size_t>(number) %
                                                  shared.patterns.size()),
                       asio::detached);
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_hold_s);
    shared.context.run_for(send_time);
    if (shared.sending > 0)
        std::cout << "sent, but for " << shared.sending << std::endl;
    shared.context.run_until(end);
    return boost::outcome_v2::success();
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("stand-in for callers that do not end requests");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto outcome = run();
    if (outcome)
        return 0;
    std::cerr << "stand-in-crowd: " << outcome.error().message << '\n';
    return 1;
}
