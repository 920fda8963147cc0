#ifndef WISTERIAHATCH_CORE_VERSION_DOCUMENT_BUILDER_HPP
#define WISTERIAHATCH_CORE_VERSION_DOCUMENT_BUILDER_HPP

#include "core/version/section_reader.hpp"

#include <array>
#include <boost/property_tree/ptree.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Parses and validates a document. Reads the sections kind by kind, services
// before the groups, indexes and classes that refer to them.
class document_builder
{
public:
    explicit document_builder(std::string_view text)
        : built(std::make_shared<document>())
    {
        this->built->text = text;
        this->built->key.digest = document_digest(text);
    }

    // Returns the validated document or all problems found. Must be called only
    // once.
    document_check run();

private:
    // A kind of section. Kinds whose sections have no name occur exactly once.
    struct section_kind
    {
        std::string_view keyword;
        bool is_named = false;
        void (document_builder::*read)(section_reader& reader,
                                       std::string_view name) = nullptr;
    };
    static const std::array<section_kind, 6> kinds;

    // Returns the kind of a section, or nullptr if it is unknown.
    static const section_kind* find_kind(std::string_view section);
    // Returns the name after the keyword; empty for kinds without a name.
    static std::string_view name_of(const document_section& section,
                                    const section_kind& kind);
    // Indexes the lines of the text and parses it into the tree.
    void parse();
    void read_sections(const section_kind& kind);
    void read_document(section_reader& reader, std::string_view);
    void read_fleet(section_reader& reader, std::string_view);
    void read_service(section_reader& reader, std::string_view name);
    void read_group(section_reader& reader, std::string_view name);
    void read_index(section_reader& reader, std::string_view name);
    void read_class(section_reader& reader, std::string_view name);
    // Reports an unknown service and settings that contradict each other.
    void check_class(section_reader& reader, const class_spec& spec);
    // Reports services without groups or indexes, and sorts the indexes by
    // version, newest first.
    void check_services();

    // Splits SERVICE/LOCAL_NAME at the last slash, sets `local_name` and
    // returns the service. Reports a problem and returns nullptr if the local
    // name is invalid or the service does not exist.
    service_spec* resolve_name(section_reader& reader,
                               std::string_view qualified_name,
                               std::string_view& local_name);

    std::shared_ptr<document> built;
    problem_list problems;
    document_lines lines;
    boost::property_tree::ptree tree;
    std::set<std::string, std::less<>> failure_domains;
    // Position of each group in its service, by SERVICE/GROUP.
    std::map<std::string, std::size_t, std::less<>> group_positions;
    // The SERVICE/GROUP that first lists each replica, by the replica's name.
    std::map<std::string, std::string, std::less<>> replica_groups;
};

}

#endif
