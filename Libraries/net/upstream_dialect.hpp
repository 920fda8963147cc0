#ifndef WISTERIAHATCH_NET_UPSTREAM_DIALECT_HPP
#define WISTERIAHATCH_NET_UPSTREAM_DIALECT_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/connection/upstream_load.hpp"
#include "net/message_headers.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace wisteriahatch
{

struct upstream_call;
struct upstream_reply;

// The state of an upstream as reported in a reply. Members that the reply does
// not report are empty.
struct upstream_report
{
    std::optional<bool> is_draining;
    // Load as a fraction of the slots; it may exceed 1 when requests wait.
    std::optional<double> load;
    // The figures behind `load`, where replies report them.
    std::optional<upstream_load> load_figures;
    std::optional<std::vector<index_version>> versions;
    // The upstream says that it leaves.
    bool is_leaving = false;
    // The upstream wants no requests from this instance for so long.
    std::optional<duration> pause;
};

// What a reply says about the rate of requests that its upstream takes.
struct rate_limit_statement
{
    // Requests a second from all instances together; empty when the upstream
    // has no limit.
    std::optional<double> per_second;
};

// Defines which headers one kind of upstream expects in requests, and how its
// replies report its state.
class upstream_dialect
{
public:
    virtual ~upstream_dialect() = default;

    // Returns the headers that are known only when the request is sent.
    // `time_left` is the time until the deadline.
    virtual message_headers send_headers(const upstream_call& call,
                                         duration time_left) const = 0;
    virtual upstream_report read_report(const upstream_reply& reply) const = 0;
    // False when the reply answers another request.
    virtual bool belongs_to(const upstream_call& call,
                            const upstream_reply& reply) const = 0;
    // True when the reply states that the upstream did not run the request.
    virtual bool is_refusal(const upstream_reply& reply) const = 0;
    // True when the reply came from a different upstream than the one called.
    virtual bool is_misdirected(const upstream_reply& reply) const = 0;
    // Empty when the reply says nothing about a limit.
    virtual std::optional<rate_limit_statement>
    read_rate_limit(const upstream_reply& reply) const;
    // Returns how long the upstream says that it is still cold; empty when the
    // reply does not say.
    virtual std::optional<std::chrono::milliseconds>
    read_warm_up_left(const upstream_reply& reply) const;
};

// Returns the dialect of this project's own upstreams: JSON bodies that carry
// ids and deadlines, and the headers x-draining, x-load and x-index-versions.
std::shared_ptr<const upstream_dialect> make_json_dialect();

}

#endif
