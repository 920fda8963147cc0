#include "StandIns/store/stand_in_store.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::milliseconds watch_poll_interval{5};
constexpr std::chrono::hours silent_delay{1};

std::string encode_base64(const std::string& bytes)
{
    constexpr std::size_t input_block_bytes = 3;
    constexpr std::size_t output_block_bytes = 4;
    std::string text(
        (bytes.size() + 2) / input_block_bytes * output_block_bytes + 1, '\0');
    const int length = EVP_EncodeBlock(
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        reinterpret_cast<unsigned char*>(text.data()),
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        reinterpret_cast<const unsigned char*>(bytes.data()),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

http_reply make_reply(const json::object& body)
{
    http_reply reply;
    reply.body = json::serialize(body);
    return reply;
}

http_reply make_status(unsigned status)
{
    http_reply reply;
    reply.status = status;
    return reply;
}

asio::awaitable<void> sleep(duration length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

std::string parameter(const http_target& target, std::string_view name)
{
    const auto found = target.parameters.find(name);
    return found == target.parameters.end() ? "" : found->second;
}

json::object encode_item(const std::string& key, std::uint64_t revision,
                         const std::optional<std::string>& value)
{
    if (!value)
        return {{"key", key}, {"revision", revision}, {"deleted", true}};
    return {{"key", key},
            {"value", encode_base64(*value)},
            {"revision", revision},
            {"created", revision},
            {"lease", 0}};
}

}

stand_in_store::stand_in_store(worker_pool& workers,
                               asio::ip::tcp::endpoint listen)
    : server(workers, {.listen = std::move(listen)},
             [this](http_request request)
             { return this->handle(std::move(request)); })
{
}

result<void> stand_in_store::start()
{
    return this->server.start();
}

asio::ip::tcp::endpoint stand_in_store::endpoint() const
{
    return this->server.endpoint();
}

void stand_in_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    const event change{
        .revision = ++this->data.revision, .key = key, .value = value};
    this->data.items[key] = change;
    this->data.history.push_back(change);
}

void stand_in_store::remove(const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    if (this->data.items.erase(key) > 0)
        this->data.history.push_back(
            {.revision = ++this->data.revision, .key = key, .value = {}});
}

void stand_in_store::forget_history()
{
    const std::lock_guard lock(this->mutex);
    this->data.history.clear();
    this->data.history_start = ++this->data.revision;
}

void stand_in_store::save_copy()
{
    const std::lock_guard lock(this->mutex);
    this->copy = this->data;
}

void stand_in_store::restore_copy()
{
    const std::lock_guard lock(this->mutex);
    this->data = this->copy;
    ++this->epoch;
}

void stand_in_store::set_mode(store_mode value)
{
    const std::lock_guard lock(this->mutex);
    this->mode = value;
}

std::uint64_t stand_in_store::calls() const
{
    const std::lock_guard lock(this->mutex);
    return this->call_count;
}

asio::awaitable<http_reply> stand_in_store::handle(http_request request)
{
    const auto target = parse_target(request.target);
    if (request.method != "GET")
        co_return this->answer_control(request, target);
    store_mode current_mode = store_mode::normal;
    {
        const std::lock_guard lock(this->mutex);
        ++this->call_count;
        current_mode = this->mode;
    }
    constexpr unsigned status_limited = 429;
    constexpr unsigned status_busy = 503;
    if (current_mode == store_mode::busy)
        co_return make_status(status_busy);
    if (current_mode == store_mode::limited)
        co_return make_status(status_limited);
    if (current_mode == store_mode::silent)
        co_await sleep(silent_delay);
    http_reply reply;
    if (current_mode == store_mode::garbled)
        reply.body = "no JSON";
    else
        reply = co_await this->answer_read(target);
    const std::lock_guard lock(this->mutex);
    reply.headers.emplace_back("Store-Era", std::to_string(this->epoch));
    co_return reply;
}

asio::awaitable<http_reply>
stand_in_store::answer_read(const http_target& target)
{
    constexpr unsigned status_unknown = 404;
    http_reply reply = make_status(status_unknown);
    if (target.path == "/kv-key")
        reply = this->answer_key(target);
    else if (target.path == "/kv-range")
        reply = this->answer_range(target);
    else if (target.path == "/kv-watch")
        reply = co_await this->answer_watch(target);
    co_return reply;
}

http_reply stand_in_store::answer_key(const http_target& target) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->data.items.find(parameter(target, "key"));
    constexpr unsigned status_unknown = 404;
    if (found == this->data.items.end())
        return make_status(status_unknown);
    auto body =
        encode_item(found->first, found->second.revision, found->second.value);
    body["storeRevision"] = this->data.revision;
    return make_reply(body);
}

http_reply stand_in_store::answer_range(const http_target& target) const
{
    const std::lock_guard lock(this->mutex);
    const auto prefix = parameter(target, "prefix");
    const auto after = parameter(target, "after");
    json::array list;
    bool has_more = false;
    for (auto each = this->data.items.upper_bound(after);
         each != this->data.items.end(); ++each)
    {
        if (!each->first.starts_with(prefix))
            continue;
        has_more = list.size() >= page_items;
        if (has_more)
            break;
        list.push_back(encode_item(each->first, each->second.revision,
                                   each->second.value));
    }
    return make_reply({{"items", std::move(list)},
                       {"hasMore", has_more},
                       {"storeRevision", this->data.revision}});
}

asio::awaitable<http_reply> stand_in_store::answer_watch(http_target target)
{
    const auto prefix = parameter(target, "prefix");
    const auto after = target.number("after", 0);
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(target.number("waitMs", 0));
    constexpr unsigned status_gone = 410;
    for (;;)
    {
        const auto events = this->events_after(after, prefix);
        if (!events)
            co_return make_status(status_gone);
        if (!events->empty() || std::chrono::steady_clock::now() >= end)
        {
            json::array list;
            for (const auto& each : *events)
                list.push_back(
                    encode_item(each.key, each.revision, each.value));
            const auto newest =
                events->empty() ? after : events->back().revision;
            co_return make_reply(
                {{"events", std::move(list)}, {"storeRevision", newest}});
        }
        co_await sleep(watch_poll_interval);
    }
}

std::optional<std::vector<stand_in_store::event>>
stand_in_store::events_after(std::uint64_t after, const std::string& prefix)
{
    const std::lock_guard lock(this->mutex);
    if (after < this->data.history_start || after > this->data.revision)
        return std::nullopt;
    std::vector<event> events;
    for (const auto& each : this->data.history)
        if (each.revision > after && each.key.starts_with(prefix))
            events.push_back(each);
    return events;
}

http_reply stand_in_store::answer_control(const http_request& request,
                                          const http_target& target)
{
    struct named_mode
    {
        std::string_view name;
        store_mode mode;
    };
    constexpr std::array modes{named_mode{"normal", store_mode::normal},
                               named_mode{"busy", store_mode::busy},
                               named_mode{"limited", store_mode::limited},
                               named_mode{"silent", store_mode::silent},
                               named_mode{"garbled", store_mode::garbled}};
    constexpr unsigned status_malformed = 400;
    if (target.path == "/put")
        this->put(parameter(target, "key"), request.body);
    else if (target.path == "/remove")
        this->remove(parameter(target, "key"));
    else if (target.path == "/forget")
        this->forget_history();
    else if (target.path == "/mode")
    {
        const auto name = parameter(target, "name");
        const auto* found = std::ranges::find(modes, name, &named_mode::name);
        if (found == modes.end())
            return make_status(status_malformed);
        this->set_mode(found->mode);
    }
    else
        return make_status(status_malformed);
    return make_reply({{"calls", this->calls()}});
}

}
