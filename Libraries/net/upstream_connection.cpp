#include "net/upstream_connection.hpp"

#include "net/http_client.hpp"
#include <boost/json/parse.hpp>
#include <charconv>
#include <string_view>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Parses a decimal number; nothing when the text holds anything else.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    Number value{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

// Reads "1,2,3"; nothing when one of the items is no number. An empty list
// means that the upstream holds no version.
std::optional<std::vector<index_version>> parse_versions(std::string_view text)
{
    std::vector<index_version> versions;
    while (!text.empty())
    {
        const auto comma = std::min(text.find(','), text.size());
        const auto version = parse_number<std::uint64_t>(text.substr(0, comma));
        if (!version)
            return std::nullopt;
        versions.push_back(index_version{*version});
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return versions;
}

// Reads `versions` from the body of a reply with status 409.
std::optional<std::vector<index_version>>
parse_refused_versions(std::string_view body)
{
    error_code failure;
    const auto parsed = boost::json::parse(
        boost::json::string_view(body.data(), body.size()), failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    const auto* list = parsed.get_object().if_contains("versions");
    if (list == nullptr || !list->is_array())
        return std::nullopt;
    std::vector<index_version> versions;
    for (const auto& item : list->get_array())
    {
        const auto version = item.to_number<std::uint64_t>(failure);
        if (failure)
            return std::nullopt;
        versions.push_back(index_version{version});
    }
    return versions;
}

upstream_report make_report(const http::response<http::string_body>& reply)
{
    const auto header =
        [&reply](std::string_view name) -> std::optional<std::string_view>
    {
        const auto field =
            reply.find(beast::string_view(name.data(), name.size()));
        if (field == reply.end())
            return std::nullopt;
        return std::string_view(field->value().data(), field->value().size());
    };
    upstream_report report;
    if (const auto draining = header("x-draining"))
        report.is_draining = *draining == "1";
    if (const auto load = header("x-load"))
        report.load = parse_number<double>(*load);
    if (const auto versions = header("x-index-versions"))
        report.versions = parse_versions(*versions);
    constexpr unsigned version_unavailable = 409;
    if (reply.result_int() == version_unavailable)
        if (auto versions = parse_refused_versions(reply.body()))
            report.versions = std::move(versions);
    return report;
}

}

upstream_connection::upstream_connection(asio::io_context& worker,
                                         tcp::endpoint address,
                                         std::uint64_t number)
    : stream(worker)
    , endpoint(std::move(address))
    , opening_number(number)
{
}

asio::awaitable<error_code> upstream_connection::connect(time_point expiry)
{
    error_code failure;
    this->stream.expires_at(expiry);
    co_await this->stream.async_connect(this->endpoint, store_error(failure));
    if (failure)
        co_return failure;
    error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
    this->stream.socket().non_blocking(true, ignored);
    this->heard = std::chrono::steady_clock::now();
    this->is_usable = true;
    co_return failure;
}

asio::awaitable<upstream_exchange>
upstream_connection::exchange(const upstream_call& call, time_point first_byte,
                              std::size_t max_reply_bytes)
{
    const auto started = std::chrono::steady_clock::now();
    this->is_usable = false;
    http::request<http::string_body> request;
    request.version(11);
    request.method(call.body.empty() ? http::verb::get : http::verb::post);
    request.target(call.target);
    request.set(http::field::host, this->endpoint.address().to_string());
    if (!call.body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = call.body;
    request.prepare_payload();

    error_code failure;
    this->stream.expires_at(std::min(first_byte, call.deadline));
    co_await http::async_write(this->stream, request, store_error(failure));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    bool was_silent = true;
    while (!failure && !parser.is_done())
    {
        const auto bytes = co_await http::async_read_some(
            this->stream, this->buffer, parser, store_error(failure));
        if (bytes == 0 || !was_silent)
            continue;
        was_silent = false;
        this->stream.expires_at(call.deadline);
    }
    if (failure)
    {
        auto failed = this->make_failure(failure);
        failed.was_silent = was_silent && failure == beast::error::timeout;
        co_return failed;
    }

    this->stream.expires_never();
    this->heard = std::chrono::steady_clock::now();
    this->is_usable = parser.keep_alive() && this->buffer.size() == 0;
    upstream_report report = make_report(parser.get());
    upstream_reply reply;
    reply.status = parser.get().result_int();
    reply.body = std::move(parser.get().body());
    reply.latency = this->heard - started;
    co_return upstream_exchange{std::move(reply), std::move(report), false};
}

void upstream_connection::close()
{
    error_code ignored;
    this->is_usable = false;
    this->stream.socket().close(ignored);
}

bool upstream_connection::is_reusable()
{
    if (!this->is_usable)
        return false;
    char first = 0;
    error_code failure;
    this->stream.socket().receive(asio::buffer(&first, 1),
                                  tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

bool upstream_connection::is_open() const
{
    return this->is_usable;
}

std::uint64_t upstream_connection::number() const
{
    return this->opening_number;
}

time_point upstream_connection::last_heard() const
{
    return this->heard;
}

upstream_exchange
upstream_connection::make_failure(const error_code& failure) const
{
    const auto name = format_endpoint(this->endpoint);
    upstream_failure ended;
    ended.was_sent = true;
    if (failure == beast::error::timeout)
    {
        ended.kind = error_kind::upstream_timeout;
        ended.message = name + " did not reply in time; ask another replica";
    }
    else if (failure == http::error::body_limit)
    {
        ended.kind = error_kind::reply_too_large;
        ended.message = "the reply of " + name + " exceeds the limit";
    }
    else
    {
        ended.kind = error_kind::truncated_reply;
        ended.message =
            "the reply of " + name + " is not whole: " + failure.message();
    }
    return upstream_exchange{std::move(ended), {}, false};
}

}
