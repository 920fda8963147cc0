#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr int backlog = 512;
constexpr std::size_t read_bytes = 65536;
constexpr milliseconds poll_interval{20};

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char letter)
                           { return std::tolower(letter); });
    return text;
}

sockaddr_in parse(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

// Opens a listening socket on a free port and stores its address.
int listen_on(const std::string& ip, std::string& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto wanted = parse(ip + ":0");
    if (::bind(socket, reinterpret_cast<sockaddr*>(&wanted), sizeof wanted) !=
            0 ||
        ::listen(socket, backlog) != 0)
        std::exit(exit_not_run);
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
    address = ip + ":" + std::to_string(ntohs(bound.sin_port));
    return socket;
}

bool store_call(const std::string& store, const std::string& target,
                const std::string& body)
{
    const auto answer =
        ask(store,
            "POST " + target + " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            milliseconds(2000));
    return answer && answer->status() == 200;
}

}

record::record(const std::string& path)
    : file(path)
{
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f ", this->seconds());
    this->file << time << text << std::endl;
}

double record::seconds() const
{
    return std::chrono::duration<double>(steady::now() - this->started).count();
}

std::string message::header(const std::string& name) const
{
    for (const auto& [key, value] : this->headers)
        if (lower(key) == lower(name))
            return value;
    return "";
}

std::string message::second_word() const
{
    std::istringstream words(this->start);
    std::string first;
    std::string second;
    words >> first >> second;
    return second;
}

int message::status() const
{
    return std::atoi(this->second_word().c_str());
}

connection::connection(int descriptor)
    : socket(descriptor)
{
    const int on = 1;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    ::close(this->socket);
}

bool connection::fill(steady::time_point end)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - steady::now());
    pollfd waited{.fd = this->socket, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 ||
        ::poll(&waited, 1, static_cast<int>(left.count())) != 1)
        return false;
    std::string bytes(read_bytes, '\0');
    const auto count = ::recv(this->socket, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    this->buffer.append(bytes, 0, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(milliseconds time_limit)
{
    const auto end = steady::now() + time_limit;
    std::size_t head_end = 0;
    while ((head_end = this->buffer.find("\r\n\r\n")) == std::string::npos)
        if (!this->fill(end))
            return std::nullopt;
    message result;
    std::istringstream head(this->buffer.substr(0, head_end));
    std::getline(head, result.start);
    if (result.start.ends_with('\r'))
        result.start.pop_back();
    for (std::string line; std::getline(head, line);)
    {
        if (line.ends_with('\r'))
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.headers.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
    }
    const auto length = static_cast<std::size_t>(
        std::atoll(result.header("Content-Length").c_str()));
    const auto body = head_end + 4;
    while (this->buffer.size() < body + length)
        if (!this->fill(end))
            return std::nullopt;
    result.body = this->buffer.substr(body, length);
    this->buffer.erase(0, body + length);
    return result;
}

bool connection::write(const std::string& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        const auto count = ::send(this->socket, bytes.data() + written,
                                  bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::is_closed() const
{
    char byte = 0;
    const auto count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

int connection::descriptor() const
{
    return this->socket;
}

connection_ptr connect_to(const std::string& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto target = parse(address);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&target),
                  sizeof target) == 0)
        return std::make_unique<connection>(socket);
    ::close(socket);
    return nullptr;
}

std::optional<message> ask(const std::string& address,
                           const std::string& request, milliseconds time_limit)
{
    const auto opened = connect_to(address);
    if (!opened || !opened->write(request))
        return std::nullopt;
    return opened->read(time_limit);
}

std::string free_address(const std::string& ip)
{
    std::string address;
    ::close(listen_on(ip, address));
    return address;
}

listener::listener(const std::string& ip, handler chosen)
    : handle(std::move(chosen))
    , socket(listen_on(ip, this->own_address))
    , acceptor([this] { this->accept_all(); })
{
}

listener::~listener()
{
    this->is_stopping = true;
    ::shutdown(this->socket, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->socket);
}

const std::string& listener::address() const
{
    return this->own_address;
}

void listener::accept_all()
{
    while (!this->is_stopping)
    {
        const int accepted =
            ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        // The case ends with the process, so that no thread outlives it.
        std::thread(
            [this, accepted]
            {
                connection served(accepted);
                this->handle(served);
            })
            .detach();
    }
}

child::child(const std::vector<std::string>& words, const std::string& log_path)
    : process(::fork())
{
    if (this->process != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::vector<char*> arguments;
    for (const auto& word : words)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(exit_not_run);
}

child::~child()
{
    if (!this->is_running())
        return;
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

void child::signal(int number) const
{
    if (!this->has_ended)
        ::kill(this->process, number);
}

bool child::is_running()
{
    if (!this->has_ended)
        this->has_ended = ::waitpid(this->process, nullptr, WNOHANG) != 0;
    return !this->has_ended;
}

pid_t child::id() const
{
    return this->process;
}

std::size_t child::resident_bytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string world::ip(int number) const
{
    return this->network + "." + std::to_string(number);
}

world make_world()
{
    const auto text = [](const char* name)
    {
        const char* value = std::getenv(name);
        return std::string(value == nullptr ? "" : value);
    };
    std::signal(SIGPIPE, SIG_IGN);
    return {.programs = text("WISTERIAHATCH_PROGRAMS"),
            .folder = text("CASE_FOLDER"),
            .network = text("CASE_NETWORK"),
            .has_trouble = text("TROUBLE") != "0"};
}

child_ptr start_store(const world& around, const std::string& address)
{
    auto store = std::make_unique<child>(
        std::vector<std::string>{around.programs + "/stand-in-store",
                                 "--listen=" + address},
        around.folder + "/store.log");
    const auto end = steady::now() + milliseconds(5000);
    while (steady::now() < end)
    {
        if (store_call(address, "/mode?name=normal", ""))
            return store;
        std::this_thread::sleep_for(poll_interval);
    }
    return nullptr;
}

bool put(const std::string& store, const std::string& key,
         const std::string& value)
{
    return store_call(store, "/put?key=" + key, value);
}

bool remove(const std::string& store, const std::string& key)
{
    return store_call(store, "/remove?key=" + key, "");
}

std::string server_entry(const std::string& service, const std::string& address,
                         const std::string& zone, const std::string& state,
                         unsigned sequence, unsigned capacity)
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":")" + zone + R"(","version":"v1","capacity":)" +
           std::to_string(capacity) + R"(,"state":")" + state +
           R"(","warmupLeftMs":0,"sequence":)" + std::to_string(sequence) +
           R"(,"born":1780000000000})";
}

child_ptr start_gateway(const world& around, const gateway_settings& settings)
{
    const auto path = around.folder + "/" + settings.name + ".ini";
    std::ofstream(path) << "[instance]\nname = " << settings.name
                        << "\nfailure_domain = " << settings.zone
                        << "\ncaller_address = " << settings.front
                        << "\nready_address = " << settings.ready
                        << "\nmetrics_address = " << settings.metrics
                        << "\n[peers]\naddress = " << settings.control
                        << "\nseeds = " << settings.seeds
                        << "\n[store]\naddress = " << settings.store
                        << "\n[shutdown]\ngrace_s = 6\n[repeats]\nratio = 0.2"
                           "\nslack = 58\nwindow_s = 10\n[log]\nlevel = info\n";
    return std::make_unique<child>(
        std::vector<std::string>{around.programs + "/wisteriahatch-gateway",
                                 "--settings=" + path},
        around.folder + "/" + settings.name + ".log");
}

bool wait_ready(const std::string& address, milliseconds time_limit)
{
    const auto end = steady::now() + time_limit;
    while (steady::now() < end)
    {
        const auto answer =
            ask(address, "GET /ready HTTP/1.1\r\nHost: g\r\n\r\n",
                milliseconds(500));
        if (answer && answer->status() == 200)
            return true;
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

std::string answer_text(const std::string& status, const std::string& headers,
                        const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}
