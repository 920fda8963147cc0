#include "core/version/document_diff.hpp"

#include "core/version/ownership.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace wisteriahatch
{

namespace
{

using sentences = std::vector<std::string>;
using names_to_values = std::map<std::string, std::string>;

// A setting that is compared as text and reported under its key.
template <class Spec>
struct described_field
{
    std::string_view key;
    std::string (*text)(const Spec& spec) = nullptr;
};

std::string decimal(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

constexpr described_field<service_spec> service_fields[] = {
    {"slots",
     [](const service_spec& spec) { return std::to_string(spec.slots); }},
    {"connections",
     [](const service_spec& spec) { return std::to_string(spec.connections); }},
    {"new_connection_ms", [](const service_spec& spec)
     { return std::to_string(spec.connection_setup_time.count()); }},
    {"load_reports", [](const service_spec& spec)
     { return std::string(spec.reports_load ? "yes" : "no"); }},
};

constexpr described_field<class_spec> class_fields[] = {
    {"service", [](const class_spec& spec) { return spec.service; }},
    {"deadline_ms", [](const class_spec& spec)
     { return std::to_string(spec.deadline.count()); }},
    {"priority",
     [](const class_spec& spec) { return std::to_string(spec.priority); }},
    {"coverage_floor_percent", [](const class_spec& spec)
     { return std::to_string(spec.coverage_floor_percent); }},
    {"partial",
     [](const class_spec& spec)
     {
         return std::string(
             spec.partial == partial_policy::allowed ? "allowed" : "refused");
     }},
    {"hedge_budget_percent",
     [](const class_spec& spec) { return decimal(spec.hedge_budget_percent); }},
    {"idempotent",
     [](const class_spec& spec)
     {
         return std::string(spec.request_idempotency == idempotency::idempotent
                                ? "yes"
                                : "no");
     }},
};

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts)
        text += part;
    return text;
}

template <class Spec, std::size_t Count>
void compare_fields(const std::string& subject, const Spec& from,
                    const Spec& to,
                    const described_field<Spec> (&fields)[Count],
                    sentences& output)
{
    for (const auto& field : fields)
    {
        const auto before = field.text(from);
        const auto after = field.text(to);
        if (before != after)
            output.push_back(joined({subject, ": ", field.key, " changes from ",
                                     before, " to ", after}));
    }
}

// Reports names that only one side has, and names whose values differ.
void compare_values(const std::string& subject, std::string_view noun,
                    const names_to_values& from, const names_to_values& to,
                    sentences& output)
{
    for (const auto& [name, value] : from)
        if (!to.contains(name))
            output.push_back(joined(
                {subject, ": ", noun, " ", name, " (", value, ") is removed"}));
    for (const auto& [name, value] : to)
    {
        const auto before = from.find(name);
        if (before == from.end())
            output.push_back(joined(
                {subject, ": ", noun, " ", name, " (", value, ") is added"}));
        else if (before->second != value)
            output.push_back(
                joined({subject, ": ", noun, " ", name, " moves from ",
                        before->second, " to ", value}));
    }
}

// Reports specs that only one side has, and calls `compare` for each pair of
// specs with the same name.
template <class Map, class Compare>
void compare_specs(std::string_view noun, const Map& from, const Map& to,
                   Compare compare, sentences& output)
{
    for (const auto& [name, spec] : from)
        if (!to.contains(name))
            output.push_back(joined({noun, " ", name, " is removed"}));
    for (const auto& [name, spec] : to)
    {
        const auto subject = joined({noun, " ", name});
        if (const auto before = from.find(name); before != from.end())
            compare(subject, before->second, spec);
        else
            output.push_back(subject + " is added");
    }
}

names_to_values replicas_of(const service_spec& service)
{
    names_to_values replicas;
    for (const auto& group : service.groups)
        for (const auto& replica : group.replicas)
            replicas.emplace(replica.name, joined({"group ", group.name, " in ",
                                                   replica.failure_domain}));
    return replicas;
}

names_to_values shards_of(const service_spec& service, const index_spec& index)
{
    names_to_values shards;
    for (const auto& shard : index.shards)
        shards.emplace(shard.name, "group " + service.groups[shard.group].name);
    return shards;
}

void compare_groups(const std::string& subject, const service_spec& from,
                    const service_spec& to, sentences& output)
{
    std::set<std::string> before;
    std::set<std::string> after;
    for (const auto& group : from.groups)
        before.insert(group.name);
    for (const auto& group : to.groups)
        after.insert(group.name);
    for (const auto& group : before)
        if (!after.contains(group))
            output.push_back(
                joined({subject, ": group ", group, " is removed"}));
    for (const auto& group : after)
        if (!before.contains(group))
            output.push_back(joined({subject, ": group ", group, " is added"}));
}

void compare_indexes(const std::string& subject, const service_spec& from,
                     const service_spec& to, sentences& output)
{
    for (const auto& index : from.indexes)
        if (!to.find_index(index.version))
            output.push_back(joined({subject, ": index version ",
                                     std::to_string(index.version.value),
                                     " is no longer served"}));
    for (const auto& index : to.indexes)
    {
        const auto version = std::to_string(index.version.value);
        if (const auto* const before = from.find_index(index.version))
            compare_values(joined({subject, ", index version ", version}),
                           "shard", shards_of(from, *before),
                           shards_of(to, index), output);
        else
            output.push_back(
                joined({subject, ": index version ", version, " with ",
                        std::to_string(index.shards.size()),
                        " shards may be served"}));
    }
}

std::string plan_text(const connection_plan& plan)
{
    if (plan.is_direct)
        return "each instance may open " +
               std::to_string(plan.connections_per_owner);
    return "only " + std::to_string(plan.owner_count) + " instances may open " +
           std::to_string(plan.connections_per_owner);
}

void compare_services(const document& from, const document& to,
                      sentences& output)
{
    compare_specs(
        "service", from.services, to.services,
        [&](const std::string& subject, const service_spec& before,
            const service_spec& after)
        {
            compare_fields(subject, before, after, service_fields, output);
            const auto old_plan =
                plan_text(plan_connections(before, from.max_entry_instances));
            const auto new_plan =
                plan_text(plan_connections(after, to.max_entry_instances));
            if (old_plan != new_plan)
                output.push_back(
                    joined({subject, ": connections to a server: ", old_plan,
                            " before, ", new_plan, " after"}));
            compare_groups(subject, before, after, output);
            compare_values(subject, "replica", replicas_of(before),
                           replicas_of(after), output);
            compare_indexes(subject, before, after, output);
        },
        output);
}

void compare_classes(const document& from, const document& to,
                     sentences& output)
{
    compare_specs(
        "class", from.classes, to.classes,
        [&output](const std::string& subject, const class_spec& before,
                  const class_spec& after)
        {
            compare_fields(subject, before, after, class_fields, output);
            if (before.request_idempotency == idempotency::non_idempotent &&
                after.request_idempotency == idempotency::idempotent)
                output.push_back(subject + ": its requests may now run more "
                                           "than once");
        },
        output);
}

// States whether instances that hold the old document accept the new one.
void compare_keys(const document& from, const document& to, sentences& output)
{
    const auto before = std::to_string(from.key.serial);
    const auto after = std::to_string(to.key.serial);
    if (from.environment != to.environment)
        output.push_back(
            joined({"document: the environment changes from ", from.environment,
                    " to ", to.environment,
                    "; instances of the former reject the new document"}));
    if (to.key.serial > from.key.serial)
        output.push_back(joined(
            {"document: the serial rises from ", before, " to ", after}));
    else if (to.key.serial < from.key.serial)
        output.push_back(
            joined({"document: the serial falls from ", before, " to ", after,
                    "; instances reject the new document: write a serial over ",
                    before}));
    else
        output.push_back(joined(
            {"document: the serial stays ", after, "; the ",
             to.key > from.key ? "new" : "old",
             " document's digest is greater and wins: write a serial over ",
             after}));
}

void compare_fleet(const document& from, const document& to, sentences& output)
{
    const std::set<std::string> before(from.failure_domains.begin(),
                                       from.failure_domains.end());
    const std::set<std::string> after(to.failure_domains.begin(),
                                      to.failure_domains.end());
    for (const auto& domain : before)
        if (!after.contains(domain))
            output.push_back("fleet: failure domain " + domain + " is removed");
    for (const auto& domain : after)
        if (!before.contains(domain))
            output.push_back("fleet: failure domain " + domain + " is added");
    if (from.max_entry_instances != to.max_entry_instances)
        output.push_back(
            joined({"fleet: max_entry_instances changes from ",
                    std::to_string(from.max_entry_instances), " to ",
                    std::to_string(to.max_entry_instances)}));
}

}

std::vector<std::string> describe_changes(const document& from,
                                          const document& to)
{
    sentences output;
    if (from.key.digest == to.key.digest)
        return output;
    compare_keys(from, to, output);
    const auto settings_begin = output.size();
    compare_fleet(from, to, output);
    compare_services(from, to, output);
    compare_classes(from, to, output);
    if (output.size() == settings_begin)
        output.emplace_back("document: no other setting changes");
    return output;
}

}
