#include "core/version/document_builder.hpp"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <limits>
#include <locale>
#include <sstream>

namespace wisteriahatch
{

namespace
{

// Serials and index versions fit into signed 64-bit integers, which JSON
// libraries parse without loss.
constexpr number_range version_range{
    .min = 1, .max = std::numeric_limits<std::int64_t>::max()};
constexpr number_range instances_range{.min = 1, .max = 100'000};
constexpr number_range slots_range{.min = 1, .max = 10'000};
constexpr number_range connections_range{.min = 1, .max = 1'000'000};
constexpr number_range new_connection_ms_range{.min = 0, .max = 60'000};
constexpr number_range deadline_ms_range{.min = 1, .max = 600'000};
constexpr number_range priority_range{.min = 0, .max = 3};
constexpr number_range percent_range{.min = 0, .max = 100};

// Formats a pair as the document lists it: FIRST@SECOND.
std::string format_pair(std::string first, std::string_view second)
{
    return first.append("@").append(second);
}

}

const std::array<document_builder::section_kind, 6> document_builder::kinds{{
    {.keyword = "document", .read = &document_builder::read_document},
    {.keyword = "fleet", .read = &document_builder::read_fleet},
    {.keyword = "service",
     .is_named = true,
     .read = &document_builder::read_service},
    {.keyword = "group",
     .is_named = true,
     .read = &document_builder::read_group},
    {.keyword = "index",
     .is_named = true,
     .read = &document_builder::read_index},
    {.keyword = "class",
     .is_named = true,
     .read = &document_builder::read_class},
}};

std::string_view document_builder::name_of(const document_section& section,
                                           const section_kind& kind)
{
    const std::string_view text = section.name;
    return kind.is_named ? text.substr(kind.keyword.size() + 1)
                         : std::string_view{};
}

const document_builder::section_kind*
document_builder::find_kind(std::string_view section)
{
    const auto space = section.find(' ');
    const auto found = std::ranges::find(kinds, section.substr(0, space),
                                         &section_kind::keyword);
    if (found == kinds.end() || found->is_named != (space != section.npos))
        return nullptr;
    return &*found;
}

document_check document_builder::run()
{
    this->parse();
    for (const auto& section : this->lines.sections)
        if (!find_kind(section.name))
            this->problems.add({
                .section = section.name,
                .line = section.line,
                .message = "unknown section; write [document], "
                           "[fleet], [service NAME], [group SERVICE/GROUP], "
                           "[index SERVICE/VERSION] or [class NAME]",
            });
    for (const auto& kind : kinds)
        this->read_sections(kind);
    this->check_services();
    if (!this->problems.is_empty())
        return {.problems = this->problems.take()};
    return {.accepted = std::move(this->built)};
}

void document_builder::parse()
{
    this->lines = index_lines(this->built->text, this->problems);
    std::istringstream stream(this->lines.well_formed_text);
    stream.imbue(std::locale::classic());
    try
    {
        boost::property_tree::read_ini(stream, this->tree);
    }
    catch (const boost::property_tree::ini_parser_error& fault)
    {
        this->problems.add({
            .line = fault.line(),
            .message = "the line can't be parsed (" + fault.message() +
                       "); write [SECTION] or KEY = VALUE",
        });
    }
}

void document_builder::read_sections(const section_kind& kind)
{
    bool is_found = false;
    for (const auto& section : this->lines.sections)
    {
        if (find_kind(section.name) != &kind)
            continue;
        is_found = true;
        const auto found = this->tree.find(section.name);
        section_reader reader(
            section, found == this->tree.not_found() ? nullptr : &found->second,
            this->problems);
        (this->*kind.read)(reader, name_of(section, kind));
        reader.report_unknown_keys();
    }
    if (!is_found)
        this->problems.add({
            .section = std::string(kind.keyword),
            .message = "the section is missing; add " +
                       std::string(kind.is_named ? "at least one [" : "[") +
                       std::string(kind.keyword) +
                       std::string(kind.is_named ? " NAME]" : "]"),
        });
}

void document_builder::read_document(section_reader& reader, std::string_view)
{
    this->built->environment = reader.name("environment");
    this->built->key.serial = reader.number("serial", version_range);
}

void document_builder::read_fleet(section_reader& reader, std::string_view)
{
    this->built->failure_domains = reader.names("failure_domains");
    this->failure_domains = {this->built->failure_domains.begin(),
                             this->built->failure_domains.end()};
    this->built->max_entry_instances = static_cast<unsigned>(
        reader.number("max_entry_instances", instances_range));
}

void document_builder::read_service(section_reader& reader,
                                    std::string_view name)
{
    if (!is_name(name))
        reader.add_problem({}, name,
                           "the service name is malformed; write "
                           "letters, digits, spaces, '.', '_' or '-'");
    service_spec spec{.name = std::string(name)};
    spec.slots = static_cast<unsigned>(reader.number("slots", slots_range));
    spec.connections =
        static_cast<unsigned>(reader.number("connections", connections_range));
    spec.connection_setup_time = std::chrono::milliseconds(
        reader.number("new_connection_ms", new_connection_ms_range, 1));
    spec.reports_load = reader.choice("load_reports", "yes", "no", false);
    this->built->services.emplace(name, std::move(spec));
}

service_spec* document_builder::resolve_name(section_reader& reader,
                                             std::string_view qualified_name,
                                             std::string_view& local_name)
{
    const auto slash = qualified_name.rfind('/');
    const auto service = trim(qualified_name.substr(0, slash));
    local_name = slash == qualified_name.npos
                     ? std::string_view{}
                     : trim(qualified_name.substr(slash + 1));
    if (!is_name(local_name))
    {
        reader.add_problem({}, qualified_name,
                           "the name has no valid part after '/'; write "
                           "[group SERVICE/GROUP] or "
                           "[index SERVICE/VERSION]");
        return nullptr;
    }
    const auto found = this->built->services.find(service);
    if (found != this->built->services.end())
        return &found->second;
    reader.add_problem({}, service,
                       "the service does not exist; add a "
                       "[service NAME] section or correct the name");
    return nullptr;
}

void document_builder::read_group(section_reader& reader, std::string_view name)
{
    std::string_view group_name;
    auto* const service = this->resolve_name(reader, name, group_name);
    group_spec spec{.name = std::string(group_name)};
    for (auto& [replica, domain] :
         reader.name_pairs("replicas", "FAILURE_DOMAIN"))
    {
        if (!this->failure_domains.contains(domain))
            reader.add_problem("replicas", format_pair(replica, domain),
                               "the failure domain is not declared; add it to "
                               "failure_domains in [fleet] or correct it");
        const auto [first, is_new] =
            this->replica_groups.emplace(replica, name);
        if (!is_new)
            reader.add_problem("replicas", replica,
                               "the replica is already listed in [group " +
                                   first->second +
                                   "]; a server belongs to exactly one group");
        spec.replicas.push_back(
            {.name = std::move(replica), .failure_domain = std::move(domain)});
    }
    if (!service)
        return;
    this->group_positions.emplace(name, service->groups.size());
    service->groups.push_back(std::move(spec));
}

void document_builder::read_index(section_reader& reader, std::string_view name)
{
    std::string_view version_text;
    auto* const service = this->resolve_name(reader, name, version_text);
    index_spec spec;
    const auto* const end = version_text.data() + version_text.size();
    const auto parsed =
        std::from_chars(version_text.data(), end, spec.version.value);
    // Leading zeros are rejected, so that each version has exactly one name.
    if (parsed.ec != std::errc{} || parsed.ptr != end ||
        version_text.starts_with('0') || spec.version.value > version_range.max)
        reader.add_problem(
            {}, version_text,
            "the index version is not a positive integer without "
            "leading zeros; write "
            "[index SERVICE/VERSION]");

    const auto service_name = service ? service->name : std::string{};
    std::set<std::string, std::less<>> names;
    for (auto& [shard, group] : reader.name_pairs("shards", "GROUP"))
    {
        auto position = service_name;
        position.append("/").append(group);
        const auto found = this->group_positions.find(position);
        if (service && found == this->group_positions.end())
            reader.add_problem("shards", format_pair(shard, group),
                               "the group does not exist; add [group " +
                                   position + "] or correct the name");
        if (!names.insert(shard).second)
            reader.add_problem(
                "shards", shard,
                "the shard is listed twice; remove one of the entries");
        if (found != this->group_positions.end())
            spec.shards.push_back(
                {.name = std::move(shard), .group = found->second});
    }
    if (!service)
        return;
    service->indexes.push_back(std::move(spec));
}

void document_builder::read_class(section_reader& reader, std::string_view name)
{
    if (!is_name(name))
        reader.add_problem({}, name,
                           "the class name is malformed; write "
                           "letters, digits, spaces, '.', '_' or '-'");
    class_spec spec{.name = std::string(name)};
    spec.service = reader.name("service");
    spec.deadline = std::chrono::milliseconds(
        reader.number("deadline_ms", deadline_ms_range));
    spec.priority =
        static_cast<unsigned>(reader.number("priority", priority_range, 1));
    spec.coverage_floor_percent = static_cast<unsigned>(
        reader.number("coverage_floor_percent", percent_range, 100));
    spec.partial = reader.choice("partial", "allowed", "refused", false)
                       ? partial_policy::allowed
                       : partial_policy::refused;
    spec.hedge_budget_percent = reader.percent("hedge_budget_percent", 0);
    spec.request_idempotency = reader.choice("idempotent", "yes", "no")
                                   ? idempotency::idempotent
                                   : idempotency::non_idempotent;
    this->check_class(reader, spec);
    this->built->classes.emplace(name, std::move(spec));
}

void document_builder::check_class(section_reader& reader,
                                   const class_spec& spec)
{
    if (is_name(spec.service) && !this->built->find_service(spec.service))
        reader.add_problem("service", spec.service,
                           "the service does not exist; add a [service NAME] "
                           "section or correct the name");
    const auto floor = std::to_string(spec.coverage_floor_percent);
    if (spec.partial == partial_policy::refused &&
        spec.coverage_floor_percent < 100)
        reader.add_problem("coverage_floor_percent", floor,
                           "has no effect while partial answers are refused; "
                           "write 100 or partial = allowed");
    if (spec.partial == partial_policy::allowed &&
        spec.coverage_floor_percent == 100)
        reader.add_problem(
            "coverage_floor_percent", floor,
            "refuses every partial answer although partial = "
            "allowed; write a floor below 100 or partial = refused");
    if (reader.has("idempotent") && spec.hedge_budget_percent > 0 &&
        spec.request_idempotency == idempotency::non_idempotent)
        reader.add_problem(
            "hedge_budget_percent", {},
            "non-idempotent requests are never sent twice; write 0 "
            "or remove the key");
}

void document_builder::check_services()
{
    for (const auto& section : this->lines.sections)
    {
        const auto* const kind = find_kind(section.name);
        if (!kind || kind->keyword != "service")
            continue;
        const auto name = name_of(section, *kind);
        auto& service = this->built->services.find(name)->second;
        std::ranges::sort(service.indexes, std::ranges::greater{},
                          &index_spec::version);
        section_reader reader(section, nullptr, this->problems);
        if (service.groups.empty())
            reader.add_problem({}, {},
                               "the service has no servers; add a [group " +
                                   service.name + "/all] section");
        if (service.indexes.empty())
            reader.add_problem({}, {},
                               "the service has no index; add an [index " +
                                   service.name + "/1] section");
    }
}

}
