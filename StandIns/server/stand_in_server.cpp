#include "StandIns/server/stand_in_server.hpp"

#include "net/beast.hpp"
#include "net/http_client.hpp"
#include "net/http_target.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <iomanip>
#include <set>
#include <sstream>
#include <utility>

namespace wisteriahatch
{

namespace
{

struct named_mode
{
    std::string_view name;
    server_mode mode;
};

constexpr std::array modes{
    named_mode{"normal", server_mode::normal},
    named_mode{"refuse", server_mode::refuse},
    named_mode{"fail", server_mode::fail},
    named_mode{"lose", server_mode::lose},
    named_mode{"truncate", server_mode::truncate},
    named_mode{"truncate_head", server_mode::truncate_head},
    named_mode{"garble", server_mode::garble},
    named_mode{"repeat_reply", server_mode::repeat_reply},
    named_mode{"repeat_refusal", server_mode::repeat_refusal},
    named_mode{"wrong_id", server_mode::wrong_id},
    named_mode{"unsigned", server_mode::unsigned_reply},
    named_mode{"silent", server_mode::silent},
    named_mode{"unframed", server_mode::unframed},
    named_mode{"zero_status", server_mode::zero_status},
    named_mode{"status_600", server_mode::status_600},
};

// How often a delayed reply checks whether the peer has closed its connection.
constexpr std::chrono::milliseconds peer_check_interval{5};

using request_message = http::request<http::string_body>;

// The contents of a reply. `headers` holds further header lines, each with its
// CRLF.
struct reply_text
{
    unsigned status = 200;
    std::string id;
    std::string signature;
    std::string headers;
    std::string body;
};

std::string format_head(const reply_text& reply)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << std::setw(3) << std::setfill('0') << reply.status
         << " Text\r\n"
         << "Request-Id: " << reply.id << "\r\nServer-Load: 1,0,3\r\n";
    if (!reply.signature.empty())
        text << "Response-Seal: " << reply.signature << "\r\n";
    text << reply.headers;
    return text.str();
}

std::string format_reply(const reply_text& reply)
{
    return format_head(reply) +
           "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" +
           reply.body;
}

// The bytes of a reply, and whether the connection is closed after them.
struct encoded_reply
{
    std::string bytes;
    bool closes_connection = false;
};

// A connection to the server.
struct served_connection
{
    tcp::socket socket;
    // The refusal that is sent a second time; empty when there is none.
    std::string refusal_copy;
};

encoded_reply encode_reply(server_mode mode, reply_text reply)
{
    const auto complete = format_reply(reply);
    switch (mode)
    {
    case server_mode::lose:
    case server_mode::silent:
        return {"", true};
    case server_mode::truncate:
        return {complete.substr(0, complete.size() - 1), true};
    case server_mode::truncate_head:
        return {format_head(reply), true};
    case server_mode::garble:
        return {"\x01\x02 no reply\r\n\r\n", true};
    case server_mode::repeat_reply:
    {
        auto second = reply;
        second.body = "second " + reply.body;
        return {complete + format_reply(second), false};
    }
    case server_mode::wrong_id:
        reply.id = "another";
        return {format_reply(reply), false};
    case server_mode::zero_status:
    case server_mode::status_600:
    {
        constexpr unsigned above_all_statuses = 600;
        reply.status =
            mode == server_mode::zero_status ? 0 : above_all_statuses;
        return {format_reply(reply), false};
    }
    case server_mode::unframed:
        return {format_head(reply) + "Connection: close\r\n\r\n" + reply.body,
                true};
    default:
        return {complete, false};
    }
}

}

const server_mode* find_server_mode(std::string_view name)
{
    const auto* found = std::ranges::find(modes, name, &named_mode::name);
    return found == modes.end() ? nullptr : &found->mode;
}

class stand_in_server::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(worker_pool& workers, options server_options)
        : worker(workers.at(0))
        , values(std::move(server_options))
    {
    }

    result<void> start()
    {
        auto listener = std::make_shared<tcp::acceptor>(this->worker);
        error_code failure;
        listener->open(tcp::v4(), failure);
        listener->set_option(tcp::acceptor::reuse_address(true), failure);
        listener->bind(this->values.listen, failure);
        if (!failure)
            listener->listen(tcp::acceptor::max_listen_connections, failure);
        if (failure)
            return error{error_kind::connect_failed,
                         "listening on " +
                             format_endpoint(this->values.listen) +
                             " failed: " + failure.message() +
                             "; choose a free address"};
        this->bound = listener->local_endpoint();
        asio::co_spawn(this->worker,
                       accept_all(this->shared_from_this(), listener),
                       asio::detached);
        return boost::outcome_v2::success();
    }

    static asio::awaitable<void>
    accept_all(std::shared_ptr<implementation> self,
               std::shared_ptr<tcp::acceptor> listener)
    {
        for (;;)
        {
            error_code failure;
            tcp::socket socket(self->worker);
            co_await listener->async_accept(socket, store_error(failure));
            if (failure)
                co_return;
            asio::co_spawn(self->worker, serve(self, std::move(socket)),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<implementation> self,
                                       tcp::socket socket)
    {
        served_connection connection{.socket = std::move(socket)};
        beast::flat_buffer buffer;
        bool is_open = true;
        while (is_open)
        {
            error_code failure;
            request_message request;
            co_await http::async_read(connection.socket, buffer, request,
                                      store_error(failure));
            if (failure)
                co_return;
            const auto target = parse_target(request.target());
            if (target.path != "/control")
            {
                is_open = co_await self->answer(connection, request);
                continue;
            }
            const auto text = self->control(target);
            co_await asio::async_write(connection.socket, asio::buffer(text),
                                       store_error(failure));
        }
    }

    // Sets what the parameters name and returns a reply with the counts.
    std::string control(const http_target& target)
    {
        const auto& parameters = target.parameters;
        const std::lock_guard lock(this->mutex);
        if (const auto found = parameters.find("mode");
            found != parameters.end())
            if (const auto* named = find_server_mode(found->second))
                this->mode = *named;
        if (const auto found = parameters.find("leaving");
            found != parameters.end())
            this->is_leaving = found->second == "1";
        if (const auto found = parameters.find("retry_after");
            found != parameters.end())
            this->retry_after = found->second;
        return format_reply(
            {.body = R"({"arrivals":)" +
                     std::to_string(this->header_blocks.size()) +
                     R"(,"runs":)" + std::to_string(this->run_ids.size()) +
                     "}\n"});
    }

    // Returns whether the connection stays open.
    asio::awaitable<bool> answer(served_connection& connection,
                                 const request_message& request)
    {
        auto& socket = connection.socket;
        error_code failure;
        const auto mode = this->record_arrival(request);
        const auto id = std::string(request["Request-Id"]);
        const auto target = std::string(request["Target-Instance"]);
        constexpr unsigned status_refused = 503;
        constexpr unsigned status_misdirected = 421;
        constexpr unsigned status_failed = 500;
        reply_text reply{.id = id,
                         .signature = this->values.id + "." + id,
                         .headers = this->signal_headers(),
                         .body = this->values.body};
        // NOTE: GCC 12 destroys temporaries in the operand of co_await twice,
        // so the encoded reply is kept in a local variable.
        encoded_reply encoded;
        if (!target.empty() && target != this->values.id)
        {
            reply.status = status_misdirected;
            reply.headers += "Instance-Id: " + this->values.id + "\r\n";
            encoded.bytes = format_reply(reply);
        }
        else if (this->is_refused(mode, id))
        {
            reply.status = status_refused;
            reply.headers += "Not-Executed: 1\r\n" + this->pause_header();
            encoded.bytes = format_reply(reply);
            if (mode == server_mode::repeat_refusal)
                connection.refusal_copy = encoded.bytes;
        }
        else
        {
            this->record_run(id);
            const auto copy = std::exchange(connection.refusal_copy, "");
            co_await asio::async_write(socket, asio::buffer(copy),
                                       store_error(failure));
            if (!co_await this->wait_before_reply(socket, mode))
                co_return false;
            if (mode == server_mode::fail)
                reply.status = status_failed;
            if (mode == server_mode::unsigned_reply)
                reply.signature.clear();
            encoded = encode_reply(mode, reply);
        }
        co_await asio::async_write(socket, asio::buffer(encoded.bytes),
                                   store_error(failure));
        if (encoded.closes_connection)
            socket.close(failure);
        co_return !encoded.closes_connection && !failure;
    }

    // Waits for the delay, or without limit in the mode `silent`. Returns
    // false when the peer closes the connection first.
    asio::awaitable<bool> wait_before_reply(tcp::socket& socket,
                                            server_mode mode)
    {
        const auto end = std::chrono::steady_clock::now() + this->delay.load();
        asio::steady_timer timer(this->worker);
        error_code failure;
        socket.non_blocking(true, failure);
        while (mode == server_mode::silent ||
               std::chrono::steady_clock::now() < end)
        {
            char byte = 0;
            socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                           failure);
            if (failure && failure != asio::error::would_block)
            {
                ++this->abandoned_requests;
                co_return false;
            }
            timer.expires_after(peer_check_interval);
            co_await timer.async_wait(store_error(failure));
        }
        co_return true;
    }

    server_mode record_arrival(const request_message& request)
    {
        std::ostringstream text;
        text << request.base();
        const std::lock_guard lock(this->mutex);
        this->header_blocks.push_back(text.str());
        return this->mode;
    }

    std::string signal_headers() const
    {
        std::string headers = this->is_leaving ? "Server-Leaving: 1\r\n" : "";
        const double limit = this->rate_limit;
        if (limit >= 0)
            headers += "Server-Limit: " + std::to_string(limit) + "\r\n";
        const std::chrono::milliseconds cold = this->warm_up_left;
        if (cold > std::chrono::milliseconds(0))
            headers += "Warmup-Ms: " + std::to_string(cold.count()) + "\r\n";
        return headers;
    }

    std::string pause_header() const
    {
        const std::lock_guard lock(this->mutex);
        if (this->retry_after.empty())
            return "";
        return "Retry-After: " + this->retry_after + "\r\n";
    }

    // Returns whether the server refuses to run the request.
    bool is_refused(server_mode current, const std::string& id)
    {
        if (current != server_mode::repeat_refusal)
            return current == server_mode::refuse;
        const std::lock_guard lock(this->mutex);
        return this->refused_ids.insert(id).second;
    }

    void record_run(const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        this->run_ids.push_back(id);
    }

    asio::io_context& worker;
    options values;
    tcp::endpoint bound;
    mutable std::mutex mutex;
    server_mode mode = server_mode::normal;
    std::vector<std::string> run_ids;
    // Requests that were refused in the mode repeat_refusal.
    std::set<std::string> refused_ids;
    std::vector<std::string> header_blocks;
    std::atomic<std::chrono::milliseconds> delay{std::chrono::milliseconds(0)};
    std::atomic<double> rate_limit{-1};
    std::atomic<std::chrono::milliseconds> warm_up_left{
        std::chrono::milliseconds(0)};
    std::atomic<bool> is_leaving{false};
    std::string retry_after;
    std::atomic<std::size_t> abandoned_requests{0};
};

stand_in_server::stand_in_server(worker_pool& workers, options opts)
    : state(std::make_shared<implementation>(workers, std::move(opts)))
{
}

stand_in_server::~stand_in_server() = default;

result<void> stand_in_server::start()
{
    return this->state->start();
}

tcp::endpoint stand_in_server::endpoint() const
{
    return this->state->bound;
}

void stand_in_server::set_mode(server_mode mode)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->mode = mode;
}

void stand_in_server::set_delay(std::chrono::milliseconds delay)
{
    this->state->delay = delay;
}

void stand_in_server::set_rate_limit(double per_second)
{
    this->state->rate_limit = per_second;
}

void stand_in_server::set_warm_up_left(std::chrono::milliseconds left)
{
    this->state->warm_up_left = left;
}

void stand_in_server::set_leaving(bool value)
{
    this->state->is_leaving = value;
}

void stand_in_server::set_retry_after(const std::string& value)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->retry_after = value;
}

std::vector<std::string> stand_in_server::runs() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->run_ids;
}

std::vector<std::string> stand_in_server::arrivals() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->header_blocks;
}

std::size_t stand_in_server::abandoned() const
{
    return this->state->abandoned_requests;
}

}
