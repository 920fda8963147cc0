#ifndef WISTERIAHATCH_REVIEW_TOOLS_2_COMMON_HPP
#define WISTERIAHATCH_REVIEW_TOOLS_2_COMMON_HPP

// What the drivers of the cases share: a record of the run, and a small
// HTTP/1.1 client and server on blocking sockets, one thread a connection. They
// have no code in common with the product, so that its parser is not its own
// judge.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline double seconds_since(time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

inline void pause(milliseconds length)
{
    std::this_thread::sleep_for(length);
}

// Writes lines with the seconds since the start of the driver.
class record
{
public:
    explicit record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
    {
        if (this->file == nullptr)
            std::exit(exit_not_run);
    }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%8.3f ", seconds_since(this->started));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::FILE* file;
    std::mutex mutex;
    time_point started = steady::now();
};

inline sockaddr_in parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline int listen_at(const std::string& address)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto name = parse_address(address);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&name),
               sizeof(name)) != 0 ||
        ::listen(listener, 256) != 0)
    {
        std::fprintf(stderr, "can't listen at %s\n", address.c_str());
        std::exit(exit_not_run);
    }
    return listener;
}

// Returns a connected socket, or -1.
inline int connect_to(const std::string& address)
{
    const int peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto name = parse_address(address);
    const int on = 1;
    ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(peer, reinterpret_cast<const sockaddr*>(&name),
                  sizeof(name)) == 0)
        return peer;
    ::close(peer);
    return -1;
}

inline bool send_all(int peer, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = ::send(peer, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Returns the first field of this name, or an empty text.
    std::string field(const char* name) const
    {
        for (const auto& [key, value] : this->fields)
            if (::strcasecmp(key.c_str(), name) == 0)
                return value;
        return "";
    }

    int status() const
    {
        return this->first_line.size() < 12
                   ? 0
                   : std::atoi(this->first_line.c_str() + 9);
    }
};

// Reads messages with Content-Length, or without a body, from a socket.
class reader
{
public:
    explicit reader(int socket)
        : peer(socket)
    {
    }

    // Returns nothing when the connection ends before the message is complete.
    std::optional<message> read()
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos)
            if (!this->fill())
                return std::nullopt;
        message result;
        std::size_t begin = 0;
        for (std::size_t line_end = 0; begin < end + 2; begin = line_end + 2)
        {
            line_end = this->buffer.find("\r\n", begin);
            const auto line = this->buffer.substr(begin, line_end - begin);
            if (begin == 0)
                result.first_line = line;
            else if (const auto colon = line.find(':');
                     colon != std::string::npos)
            {
                const auto value = line.find_first_not_of(' ', colon + 1);
                result.fields.emplace_back(
                    line.substr(0, colon),
                    value == std::string::npos ? "" : line.substr(value));
            }
        }
        const auto length = static_cast<std::size_t>(
            std::atol(result.field("Content-Length").c_str()));
        while (this->buffer.size() < end + 4 + length)
            if (!this->fill())
                return std::nullopt;
        result.body = this->buffer.substr(end + 4, length);
        this->buffer.erase(0, end + 4 + length);
        return result;
    }

private:
    bool fill()
    {
        char bytes[16384];
        const auto count = ::recv(this->peer, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int peer;
    std::string buffer;
};

// A server of the platform, as the protocol's page describes it. It answers 421
// to a request for another id; everything else is up to the handler, which
// returns the bytes of the answer.
class server
{
public:
    using handler = std::function<std::string(const message&)>;

    server(std::string name, std::string listen, handler chosen)
        : id(std::move(name))
        , address(std::move(listen))
        , handle(std::move(chosen))
        , listener(listen_at(this->address))
    {
        std::thread([this] { this->accept_all(); }).detach();
    }

    // Closes the listening socket and every connection, as the end of the
    // process does.
    void end()
    {
        const std::lock_guard lock(this->mutex);
        this->has_ended = true;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        for (const int peer : this->open)
            ::shutdown(peer, SHUT_RDWR);
    }

    std::string answer(const message& request, const std::string& status,
                       const std::string& fields, const std::string& body) const
    {
        const auto request_id = request.field("Request-Id");
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request_id +
               "\r\nResponse-Seal: " + this->id + "." + request_id + "\r\n" +
               fields + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    const std::string id;
    const std::string address;

private:
    void accept_all()
    {
        for (;;)
        {
            const int peer = ::accept(this->listener, nullptr, nullptr);
            const std::lock_guard lock(this->mutex);
            if (this->has_ended)
                return;
            if (peer < 0)
                continue;
            this->open.insert(peer);
            std::thread([this, peer] { this->serve(peer); }).detach();
        }
    }

    void serve(int peer)
    {
        reader input(peer);
        while (const auto request = input.read())
        {
            const auto target = request->field("Target-Instance");
            const bool is_misdirected = !target.empty() && target != this->id;
            if (!send_all(peer, is_misdirected
                                    ? "HTTP/1.1 421 Misdirected\r\nInstance-"
                                      "Id: " +
                                          this->id +
                                          "\r\nContent-Length: 0\r\n\r\n"
                                    : this->handle(*request)))
                break;
        }
        const std::lock_guard lock(this->mutex);
        this->open.erase(peer);
        ::close(peer);
    }

    handler handle;
    int listener;
    std::mutex mutex;
    std::set<int> open;
    bool has_ended = false;
};

// A client's connection to a gateway.
class client
{
public:
    explicit client(std::string gateway)
        : address(std::move(gateway))
    {
    }

    client(const client&) = delete;
    client& operator=(const client&) = delete;

    ~client()
    {
        this->close();
    }

    // Returns nothing when the connection ends without an answer.
    std::optional<message> ask(const std::string& bytes)
    {
        if (this->peer < 0)
        {
            this->peer = connect_to(this->address);
            this->input.emplace(this->peer);
        }
        std::optional<message> answer;
        if (this->peer >= 0 && send_all(this->peer, bytes))
            answer = this->input->read();
        if (!answer || answer->field("Connection") == "close")
            this->close();
        return answer;
    }

    void close()
    {
        if (this->peer >= 0)
            ::close(this->peer);
        this->peer = -1;
    }

private:
    std::string address;
    int peer = -1;
    std::optional<reader> input;
};

// Sends a POST request to the stand-in for the store. Exits when it fails.
inline void change_store(const std::string& store, const std::string& target,
                         const std::string& body = "")
{
    client connection(store);
    const auto answer =
        connection.ask("POST " + target +
                       " HTTP/1.1\r\nHost: store\r\nConnection: "
                       "close\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!answer || answer->status() != 200)
    {
        std::fprintf(stderr, "the store refused %s\n", target.c_str());
        std::exit(exit_not_run);
    }
}

// A server's entry in the store.
struct entry
{
    std::string service;
    std::string zone = "z1";
    unsigned capacity = 3;
    unsigned warm_up_left_ms = 0;
    unsigned sequence = 1;
};

inline void write_entry(const std::string& store, const server& written,
                        const entry& values)
{
    change_store(store, "/put?key=servers/" + written.id,
                 R"({"service":")" + values.service + R"(","address":")" +
                     written.address + R"(","zone":")" + values.zone +
                     R"(","version":"v1","capacity":)" +
                     std::to_string(values.capacity) +
                     R"(,"state":"ready","warmupLeftMs":)" +
                     std::to_string(values.warm_up_left_ms) +
                     R"(,"sequence":)" + std::to_string(values.sequence) +
                     R"(,"born":1790000000000})");
}

// Publishes a configuration with these routes, each to the service "plain".
inline void write_routes(const std::string& store, const std::string& routes)
{
    change_store(
        store, "/put?key=op/config",
        R"({"version":1,"routes":[)" + routes +
            R"(],"services":[{"name":"plain","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

inline std::string make_route(const std::string& name,
                              const std::string& prefix,
                              const std::string& kind)
{
    return R"({"name":")" + name + R"(","host":"h","prefix":")" + prefix +
           R"(","routeKind":")" + kind +
           R"(","timeoutMs":8000,"targetLatencyMs":500,"priority":2,"service":"plain","maxAttempts":2})";
}

// Waits until a gateway says that it is ready; exits when it does not.
inline void wait_until_ready(const std::string& ready_address)
{
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        client probe(ready_address);
        const auto answer = probe.ask(
            "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        if (answer && answer->status() == 200)
            return;
        pause(milliseconds(100));
    }
    std::fprintf(stderr, "%s is not ready\n", ready_address.c_str());
    std::exit(exit_not_run);
}

}

#endif
