#ifndef WISTERIAHATCH_CORE_PROCESS_DIRECTORY_HPP
#define WISTERIAHATCH_CORE_PROCESS_DIRECTORY_HPP

#include "core/base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// Role of an instance on the platform's list.
enum class instance_role : std::uint8_t
{
    entry,
    upstream,
};

// State of an instance according to the platform's list.
enum class instance_state : std::uint8_t
{
    live,
    leaving,
};

// One instance on the platform's list.
struct instance_entry
{
    std::string name;
    instance_role role = instance_role::entry;
    // "IP:port" for callers (entry) or for requests (upstream).
    std::string address;
    // "IP:port" for other instances; empty for upstreams.
    std::string peer_address;
    std::string failure_domain;
    instance_state state = instance_state::live;

    friend bool operator==(const instance_entry&,
                           const instance_entry&) = default;
};

// The platform's list of instances. It may be out of date and is used only as a
// hint. Immutable once published.
struct directory
{
    // Increases with each change of the list.
    std::uint64_t revision = 0;
    std::vector<instance_entry> instances;
    // Entries that were left out when the list was decoded.
    std::size_t ignored_entries = 0;

    // Returns the instance with this name, or nullptr.
    const instance_entry* find(std::string_view name) const;
    // Returns the peer addresses of the live entry instances.
    std::vector<std::string> entry_peers() const;
};

using directory_ptr = std::shared_ptr<const directory>;

// Largest accepted list in bytes: 30,000 instances of about 200 bytes each.
inline constexpr std::size_t max_directory_bytes = 8388608;

// Reads the JSON of GET /instances and of directory.fetch. Ignores malformed
// entries and those of a name that is listed already. Fails with
// malformed_request if the list itself is malformed or has no usable entry, and
// with body_too_large.
result<directory> decode_directory(std::string_view text);

// Writes the JSON that decode_directory reads.
std::string encode_directory(const directory& list);

}

#endif
