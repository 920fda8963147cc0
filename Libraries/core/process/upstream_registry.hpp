#ifndef WISTERIAHATCH_CORE_PROCESS_UPSTREAM_REGISTRY_HPP
#define WISTERIAHATCH_CORE_PROCESS_UPSTREAM_REGISTRY_HPP

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/connection/upstream_state.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// What the directory says of one upstream.
struct upstream_spec
{
    std::string id;
    std::string service;
    // "IP:port".
    std::string address;
    std::string failure_domain;
    // Requests that it works on at once.
    unsigned slots = 1;
    // Asked to get no new work.
    bool is_draining = false;
    // How much longer the upstream is slow after its start.
    std::chrono::milliseconds warm_up_left{0};
    // Differs between two starts under the same id.
    incarnation start;

    friend bool operator==(const upstream_spec&,
                           const upstream_spec&) = default;
};

// An upstream that may get work, and what this process observed of it.
struct registered_upstream
{
    upstream_spec spec;
    std::shared_ptr<upstream_state> state;
    // Set when the directory said that the upstream leaves or removed it. It
    // is then used only while its service has nothing better, until
    // upstream_registry::leaving_grace has passed.
    std::optional<time_point> leaving_since;
};

using registered_upstream_ptr = std::shared_ptr<const registered_upstream>;
using upstream_group = std::vector<registered_upstream_ptr>;

// The upstreams of all services, kept from a directory that is watched. An
// entry that disappears is not dropped at once: entries lapse while the
// directory's own service is away, and come back soon after it. One thread
// uses it.
class upstream_registry
{
public:
    // A draining upstream must get no work three seconds after the directory
    // said so; entries that lapsed are back two seconds after the directory.
    static constexpr std::chrono::milliseconds leaving_grace{2000};

    // Each of these returns whether the set of upstreams has changed. An
    // unknown upstream that is draining is ignored.
    bool set(const upstream_spec& spec, time_point now);
    bool remove(std::string_view id, time_point now);
    // Takes a complete list: entries that are not in it are removed.
    bool replace_all(const std::vector<upstream_spec>& specs, time_point now);
    // Drops the upstreams whose grace has passed.
    bool expire(time_point now);

    // When to call expire() next.
    std::optional<time_point> next_expiry() const;
    // Returns the upstreams of a service; empty for an unknown one.
    const upstream_group& group(std::string_view service) const;
    // The upstreams of every service that has any.
    const std::map<std::string, upstream_group, std::less<>>&
    by_service() const;
    // What the directory lists now: without the upstreams that it removed.
    std::vector<upstream_spec> listed() const;
    // Every upstream, by id.
    const std::map<std::string, registered_upstream_ptr, std::less<>>&
    all() const;

private:
    void put(const std::shared_ptr<registered_upstream>& entry);
    void drop(const registered_upstream& entry);

    std::map<std::string, registered_upstream_ptr, std::less<>> upstreams;
    std::map<std::string, upstream_group, std::less<>> groups;
};

}

#endif
