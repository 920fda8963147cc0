#ifndef WISTERIAHATCH_REVIEW_HARNESS_HPP
#define WISTERIAHATCH_REVIEW_HARNESS_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

// What the review's cases share: a record of what happened, child processes,
// and HTTP/1.1 over blocking sockets, written as raw bytes so that a stand-in
// can also send what an HTTP library would refuse to send.
namespace review
{

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// Exit statuses of a case.
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// Writes lines with the seconds since the start of the case. Thread-safe.
class record
{
public:
    explicit record(const std::string& path);

    void line(const std::string& text);
    double seconds() const;

private:
    std::mutex mutex;
    std::ofstream file;
    steady::time_point started = steady::now();
};

struct message
{
    // The first line without its CRLF.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    // Empty when there is no such header.
    std::string header(const std::string& name) const;
    // The second word of the first line: the target of a request or the status
    // of an answer.
    std::string second_word() const;
    int status() const;
};

// One TCP connection. Not thread-safe.
class connection
{
public:
    explicit connection(int descriptor);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    // Reads a message; empty when the peer closed, reset or sent no HTTP, or
    // when the time has passed.
    std::optional<message> read(milliseconds time_limit);
    bool write(const std::string& bytes);
    // True when the peer has closed or reset the connection.
    bool is_closed() const;
    int descriptor() const;

private:
    bool fill(steady::time_point end);

    int socket;
    std::string buffer;
};

using connection_ptr = std::unique_ptr<connection>;

// Returns null when the connection can't be opened.
connection_ptr connect_to(const std::string& address);

// Sends a request over a new connection and returns the answer.
std::optional<message> ask(const std::string& address,
                           const std::string& request, milliseconds time_limit);

// Returns "IP:port" with a port that is free now.
std::string free_address(const std::string& ip);

// Accepts connections and runs the handler on a thread for each.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& ip, handler chosen);
    ~listener();

    const std::string& address() const;

private:
    void accept_all();

    handler handle;
    // Set while the socket is opened.
    std::string own_address;
    int socket;
    std::atomic<bool> is_stopping{false};
    std::thread acceptor;
};

// A process that this case started. It is killed with this object.
class child
{
public:
    child(const std::vector<std::string>& words, const std::string& log_path);
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    ~child();

    void signal(int number) const;
    // Returns whether the process still runs.
    bool is_running();
    pid_t id() const;
    // Resident memory now, in bytes.
    std::size_t resident_bytes() const;

private:
    pid_t process;
    bool has_ended = false;
};

using child_ptr = std::unique_ptr<child>;

// Settings of a gateway, in the form of platform/settings.ini.template.
struct gateway_settings
{
    std::string name;
    std::string zone;
    std::string front;
    std::string ready;
    std::string metrics;
    std::string control;
    std::string seeds;
    std::string store;
};

// Paths and addresses of one case.
struct world
{
    // Folder of the project's programs.
    std::string programs;
    // Folder for settings and logs, removed at the end.
    std::string folder;
    // First three numbers of the loopback addresses.
    std::string network;
    bool has_trouble = true;

    std::string ip(int number) const;
};

// Reads WISTERIAHATCH_PROGRAMS, CASE_FOLDER, CASE_NETWORK and TROUBLE.
world make_world();

// Starts the project's stand-in of the platform's store; null when it does not
// answer.
child_ptr start_store(const world& around, const std::string& address);
// Writes an item and returns when the store has acknowledged it.
bool put(const std::string& store, const std::string& key,
         const std::string& value);
bool remove(const std::string& store, const std::string& key);
// A server's entry in the directory.
std::string server_entry(const std::string& service, const std::string& address,
                         const std::string& zone, const std::string& state,
                         unsigned sequence, unsigned capacity);

child_ptr start_gateway(const world& around, const gateway_settings& settings);
// Waits until GET /ready answers 200.
bool wait_ready(const std::string& address, milliseconds time_limit);

std::string answer_text(const std::string& status, const std::string& headers,
                        const std::string& body);

}

#endif
