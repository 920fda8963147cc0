#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_HPP

#include "core/base/ids.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahatch
{

// Key that orders documents by serial, then by digest. All instances that learn
// of the greatest key converge on the same document.
struct document_key
{
    std::uint64_t serial = 0;
    // SHA-256 of the document's bytes, lower-case hexadecimal.
    std::string digest;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
    friend auto operator<=>(const document_key&, const document_key&) = default;
};

// A server that holds a group's shards. Its address comes from the directory.
struct replica_spec
{
    std::string name;
    std::string failure_domain;
};

// Replicas that hold the same shards.
struct group_spec
{
    std::string name;
    std::vector<replica_spec> replicas;
};

// A shard and the group (index into service_spec::groups) that holds it.
struct shard_spec
{
    std::string name;
    std::size_t group = 0;
};

// An index version that may be served and its shard map.
struct index_spec
{
    index_version version;
    std::vector<shard_spec> shards;
};

// A service with its groups and index versions.
struct service_spec
{
    std::string name;
    // Requests that one server processes concurrently.
    unsigned slots = 0;
    // Connections that one server accepts from all instances together.
    unsigned connections = 0;
    std::chrono::milliseconds connection_setup_time{0};
    bool reports_load = false;
    std::vector<group_spec> groups;
    // Newest version first.
    std::vector<index_spec> indexes;

    // Returns the index with this version, or nullptr.
    const index_spec* find_index(index_version version) const;
};

// Whether callers of a class accept answers that lack shards.
enum class partial_policy : std::uint8_t
{
    refused,
    allowed,
};

// Whether requests of a class may be executed more than once.
enum class idempotency : std::uint8_t
{
    idempotent,
    non_idempotent,
};

// The service level and the request settings of a class of callers.
struct class_spec
{
    std::string name;
    std::string service;
    std::chrono::milliseconds deadline{0};
    // 0 is the highest, 3 the lowest.
    unsigned priority = 0;
    unsigned coverage_floor_percent = 100;
    partial_policy partial = partial_policy::refused;
    // Hedged sub-requests as a percentage of the required ones.
    double hedge_budget_percent = 0;
    idempotency request_idempotency = idempotency::idempotent;
};

// A validated document. Immutable; requests keep the document with which they
// started.
struct document
{
    std::string environment;
    document_key key;
    // The text as published, byte for byte.
    std::string text;
    std::vector<std::string> failure_domains;
    // Maximum number of instances alive at the same time, including
    // replacements.
    unsigned max_entry_instances = 0;
    std::map<std::string, service_spec, std::less<>> services;
    std::map<std::string, class_spec, std::less<>> classes;

    // Returns the service, or nullptr.
    const service_spec* find_service(std::string_view name) const;
    // Returns the class, or nullptr.
    const class_spec* find_class(std::string_view name) const;
};

using document_ptr = std::shared_ptr<const document>;

}

#endif
