#include "net/http_client.hpp"

#include "net/beast.hpp"
#include "net/reply_status.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <charconv>
#include <optional>

namespace wisteriahatch
{

namespace
{

// Converts an error while sending or reading to a typed error.
error make_exchange_error(const tcp::endpoint& server,
                          const error_code& failure)
{
    if (failure == beast::error::timeout)
        return {error_kind::upstream_timeout,
                format_endpoint(server) + " did not answer in time"};
    if (failure == http::error::body_limit)
        return {error_kind::reply_too_large,
                "the reply of " + format_endpoint(server) +
                    " exceeds the limit; raise it or ask for less"};
    return {error_kind::truncated_reply,
            "the reply of " + format_endpoint(server) +
                " was truncated: " + failure.message()};
}

}

std::string format_endpoint(const boost::asio::ip::tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
}

result<tcp::endpoint> parse_endpoint(std::string_view text)
{
    const error malformed{error_kind::invalid_settings,
                          "\"" + std::string(text) +
                              "\" is not an address; write IP:port, for "
                              "example 127.0.0.1:8080"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed;
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    error_code failure;
    const auto address = asio::ip::make_address(std::string(host), failure);
    if (failure)
        return malformed;
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return malformed;
    return tcp::endpoint(address, port);
}

asio::awaitable<result<http_client_reply>> fetch(tcp::endpoint server,
                                                 http_client_request request)
{
    const auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    stream.expires_after(request.timeout);
    error_code failure;
    co_await stream.async_connect(server, store_error(failure));
    if (failure)
        co_return error{error_kind::connect_failed,
                        "connecting to " + format_endpoint(server) +
                            " failed: " + failure.message()};

    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, format_endpoint(server));
    message.set(http::field::connection, "close");
    message.body() = std::move(request.body);
    message.prepare_payload();
    co_await http::async_write(stream, message, store_error(failure));
    if (failure)
        co_return make_exchange_error(server, failure);

    beast::flat_buffer buffer(max_unparsed_bytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(request.max_reply_bytes);
    co_await http::async_read(stream, buffer, parser, store_error(failure));
    if (failure)
        co_return make_exchange_error(server, failure);

    http_client_reply reply;
    reply.status = parser.get().result_int();
    if (!is_final_status(reply.status))
        co_return error{error_kind::truncated_reply,
                        format_endpoint(server) +
                            " sent no final HTTP status but " +
                            std::to_string(reply.status)};
    for (const auto& field : parser.get())
    {
        std::string name(field.name_string());
        for (auto& letter : name)
            letter = beast::detail::ascii_tolower(letter);
        reply.headers.insert_or_assign(std::move(name),
                                       std::string(field.value()));
    }
    reply.body = std::move(parser.get().body());
    co_return reply;
}

result<http_client_reply> fetch_blocking(const tcp::endpoint& server,
                                         const http_client_request& request)
{
    asio::io_context context(1);
    std::optional<result<http_client_reply>> reply;
    // NOTE: co_spawn can't return a result, which has no default value.
    auto run = [&server, &request, &reply]() -> asio::awaitable<void>
    { reply.emplace(co_await fetch(server, request)); };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    if (reply)
        return *std::move(reply);
    return error{error_kind::internal, "the request to " +
                                           format_endpoint(server) +
                                           " ended without a reply"};
}

}
