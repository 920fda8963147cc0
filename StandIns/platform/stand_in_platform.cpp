#include "StandIns/platform/stand_in_platform.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace wisteriahatch
{

namespace json = boost::json;

namespace
{

constexpr unsigned status_not_modified = 304;
constexpr unsigned status_unavailable = 503;

http_reply make_reply(const json::object& body)
{
    http_reply reply;
    reply.body = json::serialize(body);
    return reply;
}

http_reply make_malformed_reply(const std::string& message)
{
    return make_error_reply(400, {error_kind::malformed_request, message});
}

}

stand_in_platform::stand_in_platform(worker_pool& workers,
                                     boost::asio::ip::tcp::endpoint listen)
    : document(workers.at(0))
    , instances(workers.at(0))
    , server(workers, {.listen = std::move(listen)},
             [this](http_request request)
             { return this->handle(std::move(request)); })
{
}

result<void> stand_in_platform::start()
{
    return this->server.start();
}

boost::asio::ip::tcp::endpoint stand_in_platform::endpoint() const
{
    return this->server.endpoint();
}

void stand_in_platform::put_document(std::string bytes)
{
    this->document.put(std::move(bytes));
}

result<void> stand_in_platform::put_instances(const std::string& body)
{
    boost::system::error_code failure;
    auto parsed = json::parse(body, failure);
    const json::value* list = nullptr;
    if (!failure && parsed.is_object())
        list = parsed.get_object().if_contains("instances");
    if (list == nullptr || !list->is_array())
        return error{error_kind::malformed_request,
                     "the instance list is not of the form "
                     "{\"instances\":[...]}"};
    this->instances.put(json::serialize(*list));
    return boost::outcome_v2::success();
}

boost::asio::awaitable<http_reply>
stand_in_platform::handle(http_request request)
{
    const auto target = parse_target(request.target);
    const bool is_read = request.method == "GET";
    if (target.path == "/document" && is_read)
        co_return co_await this->handle_read(this->document, target);
    if (target.path == "/instances" && is_read)
        co_return co_await this->handle_read(this->instances, target);
    if (target.path == "/counters")
        co_return this->make_counters_reply();
    if (target.path == "/control")
        co_return this->handle_control(request.body);
    if (target.path == "/document")
    {
        this->put_document(std::move(request.body));
        co_return this->make_counters_reply();
    }
    if (target.path == "/instances")
    {
        const auto stored = this->put_instances(request.body);
        co_return stored ? this->make_counters_reply()
                         : make_error_reply(400, stored.error());
    }
    co_return make_malformed_reply("unknown path " + target.path);
}

boost::asio::awaitable<http_reply>
stand_in_platform::handle_read(published_value& value,
                               const http_target& target)
{
    const auto after = target.number("after", 0);
    const std::chrono::milliseconds wait(target.number("wait_ms", 0));
    const auto read = co_await value.read(after, wait);
    http_reply reply;
    reply.headers.emplace_back("x-revision", std::to_string(read.number));
    if (value.is_down())
    {
        reply.status = status_unavailable;
        co_return reply;
    }
    if (read.number == after)
    {
        reply.status = status_not_modified;
        co_return reply;
    }
    reply.body = read.bytes;
    if (&value == &this->document)
        reply.content_type = "text/plain";
    else
        reply.body = "{\"revision\":" + std::to_string(read.number) +
                     ",\"instances\":" + read.bytes + "}";
    co_return reply;
}

http_reply stand_in_platform::handle_control(const std::string& body)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return make_malformed_reply("the body is not a JSON object");
    for (const auto& [key, value] : parsed.get_object())
    {
        const auto* flag = value.if_bool();
        const auto* number = value.if_int64();
        if (key == "document_stale" && flag != nullptr)
            this->document.set_stale(*flag);
        else if (key == "document_down" && flag != nullptr)
            this->document.set_down(*flag);
        else if (key == "instances_down" && flag != nullptr)
            this->instances.set_down(*flag);
        else if (key == "instances_lag_ms" && number != nullptr)
            this->instances.set_lag(std::chrono::milliseconds(*number));
        else
            return make_malformed_reply("unknown control key or wrong type: " +
                                        std::string(key));
    }
    return this->make_counters_reply();
}

http_reply stand_in_platform::make_counters_reply() const
{
    return make_reply({{"document", this->document.counters()},
                       {"instances", this->instances.counters()}});
}

}
