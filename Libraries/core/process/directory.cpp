#include "core/process/directory.hpp"

#include "core/base/json_fields.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <set>

namespace wisteriahatch
{

namespace
{

// Longest name, address or failure domain, in bytes.
constexpr std::size_t max_field_bytes = 128;

// Maximum number of instances on a list: 25,000 servers and 4,900 nodes, with
// room to grow.
constexpr std::size_t max_instances = 60000;

error unsupported_value(std::string_view key, const std::string& value,
                        std::string_view expected)
{
    return {error_kind::malformed_request,
            "\"" + std::string(key) + "\" is \"" + value + "\"; send " +
                std::string(expected)};
}

result<instance_entry> decode_entry(const boost::json::value& value)
{
    BOOST_OUTCOME_TRY(const auto* object, read_json_object(value, "instances"));
    instance_entry entry;
    BOOST_OUTCOME_TRY(entry.name,
                      read_json_text(*object, "name", max_field_bytes));
    BOOST_OUTCOME_TRY(const auto role,
                      read_json_text(*object, "role", max_field_bytes));
    if (role == "upstream")
        entry.role = instance_role::upstream;
    else if (role != "entry")
        return unsupported_value("role", role, "entry or upstream");
    BOOST_OUTCOME_TRY(entry.address,
                      read_json_text(*object, "address", max_field_bytes));
    if (object->contains("peer_address"))
    {
        BOOST_OUTCOME_TRY(
            entry.peer_address,
            read_json_text(*object, "peer_address", max_field_bytes));
    }
    BOOST_OUTCOME_TRY(
        entry.failure_domain,
        read_json_text(*object, "failure_domain", max_field_bytes));
    BOOST_OUTCOME_TRY(const auto state,
                      read_json_text(*object, "state", max_field_bytes));
    if (state == "leaving")
        entry.state = instance_state::leaving;
    else if (state != "live")
        return unsupported_value("state", state, "live or leaving");
    return entry;
}

}

const instance_entry* directory::find(std::string_view name) const
{
    const auto found =
        std::ranges::find(this->instances, name,
                          [](const instance_entry& entry)
                          { return std::string_view(entry.name); });
    return found == this->instances.end() ? nullptr : &*found;
}

std::vector<std::string> directory::entry_peers() const
{
    std::vector<std::string> peers;
    for (const auto& entry : this->instances)
    {
        if (entry.role == instance_role::entry &&
            entry.state == instance_state::live && !entry.peer_address.empty())
            peers.push_back(entry.peer_address);
    }
    return peers;
}

result<directory> decode_directory(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object,
                      parse_json_object(text, max_directory_bytes));
    directory list;
    BOOST_OUTCOME_TRY(list.revision,
                      read_json_integer(object, "revision", max_json_number));
    BOOST_OUTCOME_TRY(const auto* instances,
                      read_json_array(object, "instances", max_instances));
    list.instances.reserve(instances->size());
    std::set<std::string> names;
    for (const auto& value : *instances)
    {
        auto entry = decode_entry(value);
        if (entry && names.insert(entry.value().name).second)
            list.instances.push_back(std::move(entry.value()));
        else
            ++list.ignored_entries;
    }
    // Following an empty list would take all upstreams out of use.
    if (list.instances.empty() && !instances->empty())
        return error{error_kind::malformed_request,
                     "\"instances\" has no usable entry; send for each a "
                     "name, role, address, failure_domain and state"};
    return list;
}

std::string encode_directory(const directory& list)
{
    boost::json::array instances;
    instances.reserve(list.instances.size());
    for (const auto& entry : list.instances)
    {
        boost::json::object object;
        object["name"] = entry.name;
        object["role"] =
            entry.role == instance_role::entry ? "entry" : "upstream";
        object["address"] = entry.address;
        if (!entry.peer_address.empty())
            object["peer_address"] = entry.peer_address;
        object["failure_domain"] = entry.failure_domain;
        object["state"] =
            entry.state == instance_state::live ? "live" : "leaving";
        instances.push_back(std::move(object));
    }
    boost::json::object object;
    object["revision"] = list.revision;
    object["instances"] = std::move(instances);
    return boost::json::serialize(object);
}

}
