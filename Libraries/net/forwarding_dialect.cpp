#include "net/forwarding_dialect.hpp"

#include "core/connection/upstream_signals.hpp"
#include "core/process/rate_limit_report.hpp"
#include "net/upstream_pool.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>

namespace wisteriahatch
{

namespace
{

constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;

// Removes the next item from a comma-separated list and returns its number.
std::optional<unsigned> take_number(std::string_view& list)
{
    const auto comma = std::min(list.find(','), list.size());
    unsigned number = 0;
    const auto parsed =
        std::from_chars(list.data(), list.data() + comma, number);
    list.remove_prefix(std::min(comma + 1, list.size()));
    if (parsed.ec != std::errc())
        return std::nullopt;
    return number;
}

// Parses "RUNNING,WAITING,SLOTS" with an optional fourth figure, the time that
// the machine takes in percent of the usual time. A malformed fourth figure is
// ignored.
std::optional<upstream_load> read_load(std::string_view list)
{
    constexpr double percent = 100;
    const auto running = take_number(list);
    const auto waiting = take_number(list);
    const auto slots = take_number(list);
    if (!running || !waiting || !slots || *slots == 0)
        return std::nullopt;
    const auto time_percent = take_number(list).value_or(0);
    return upstream_load{.running = *running,
                         .waiting = *waiting,
                         .slots = *slots,
                         .time_ratio =
                             time_percent > 0 ? time_percent / percent : 1};
}

// Returns the load as a fraction of the slots.
double load_ratio(const upstream_load& load)
{
    return (static_cast<double>(load.running) + load.waiting) / load.slots;
}

// Parses a decimal number that is finite and not negative.
std::optional<double> read_decimal(std::string_view text)
{
    double number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 0 ||
        !std::isfinite(number))
        return std::nullopt;
    return number;
}

// Parses a number of seconds. Longer times than upstream_signals::max_pause are
// shortened to it, which also keeps the result in range.
std::optional<duration> read_seconds(std::string_view text)
{
    using seconds = std::chrono::duration<double>;
    const auto number = read_decimal(text);
    if (!number)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(
        std::min(seconds(*number), seconds(upstream_signals::max_pause)));
}

// Parses a whole number of milliseconds. Longer times than max_cold_time are
// shortened to it.
std::optional<std::chrono::milliseconds>
read_milliseconds(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    const std::chrono::milliseconds longest(max_cold_time);
    return std::chrono::milliseconds(
        std::min(number, static_cast<std::uint64_t>(longest.count())));
}

class forwarding_dialect : public upstream_dialect
{
public:
    explicit forwarding_dialect(forwarding_header_names header_names)
        : names(std::move(header_names))
    {
    }

    message_headers send_headers(const upstream_call& call,
                                 duration time_left) const override
    {
        using std::chrono::milliseconds;
        const auto remaining =
            std::max(milliseconds(1),
                     std::chrono::duration_cast<milliseconds>(time_left));
        return {{this->names.deadline, std::to_string(remaining.count())},
                {this->names.target_upstream, call.replica}};
    }

    upstream_report read_report(const upstream_reply& reply) const override
    {
        upstream_report report;
        if (const auto load = find_header(reply.headers, this->names.load))
            report.load_figures = read_load(*load);
        if (report.load_figures)
            report.load = load_ratio(*report.load_figures);
        // Another upstream at the address says nothing of the intended one.
        if (this->is_misdirected(reply))
            return report;
        report.is_leaving =
            find_header(reply.headers, this->names.leaving) == "1";
        if (reply.status == status_unavailable)
            if (const auto pause =
                    find_header(reply.headers, this->names.retry_after))
                report.pause = read_seconds(*pause);
        return report;
    }

    // A late reply to an earlier request may arrive instead of this one.
    bool belongs_to(const upstream_call& call,
                    const upstream_reply& reply) const override
    {
        const auto echoed_id =
            find_header(reply.headers, this->names.request_id);
        return !echoed_id || *echoed_id == call.request->request_id;
    }

    bool is_refusal(const upstream_reply& reply) const override
    {
        return this->is_misdirected(reply) ||
               find_header(reply.headers, this->names.not_executed).has_value();
    }

    bool is_misdirected(const upstream_reply& reply) const override
    {
        return reply.status == status_misdirected;
    }

    // A refusal without the header may come from a queue in front of the
    // upstream, and a reply without a signature from another server; neither
    // shows that the limit has ended.
    std::optional<rate_limit_statement>
    read_rate_limit(const upstream_reply& reply) const override
    {
        if (this->is_misdirected(reply))
            return std::nullopt;
        if (const auto text =
                find_header(reply.headers, this->names.rate_limit))
        {
            const auto rate = read_decimal(*text);
            return rate ? std::optional(rate_limit_statement{rate})
                        : std::nullopt;
        }
        if (this->is_refusal(reply) ||
            !find_header(reply.headers, this->names.signature))
            return std::nullopt;
        return rate_limit_statement{};
    }

    // Another upstream at the address says nothing of the intended one. Any
    // other reply counts, refusals too: they are what a cold upstream sends
    // first.
    std::optional<std::chrono::milliseconds>
    read_warm_up_left(const upstream_reply& reply) const override
    {
        const auto text = find_header(reply.headers, this->names.warm_up_left);
        if (!text || this->is_misdirected(reply))
            return std::nullopt;
        return read_milliseconds(*text);
    }

private:
    forwarding_header_names names;
};

}

std::shared_ptr<const upstream_dialect>
make_forwarding_dialect(forwarding_header_names names)
{
    return std::make_shared<forwarding_dialect>(std::move(names));
}

}
