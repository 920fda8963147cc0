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

// Reads the sections of a document in order of their kinds: services before
// the groups, indexes and classes that name them.
class document_builder
{
public:
    explicit document_builder(std::string_view text)
        : built(std::make_shared<document>())
    {
        this->built->text = text;
        this->built->key.digest = document_digest(text);
    }

    // Returns the checked document or every fault. Called once.
    document_check run();

private:
    // A kind of section. Kinds without a name occur exactly once.
    struct section_kind
    {
        std::string_view word;
        bool is_named = false;
        void (document_builder::*read)(section_reader& reader,
                                       std::string_view name) = nullptr;
    };
    static const std::array<section_kind, 6> kinds;

    // Returns the kind of a section, or nullptr if it is unknown.
    static const section_kind* kind_of(std::string_view section);
    // Returns what follows the kind's word; empty for kinds without a name.
    static std::string_view name_of(const document_section& section,
                                    const section_kind& kind);
    // Fills the index of lines and the tree.
    void parse();
    void read_sections(const section_kind& kind);
    void read_document(section_reader& reader, std::string_view);
    void read_fleet(section_reader& reader, std::string_view);
    void read_service(section_reader& reader, std::string_view name);
    void read_group(section_reader& reader, std::string_view name);
    void read_index(section_reader& reader, std::string_view name);
    void read_class(section_reader& reader, std::string_view name);
    // Reports settings of a class that contradict each other.
    void check_class(section_reader& reader, const class_spec& read);
    // Reports services that lack groups or indexes, and orders the indexes.
    void check_services();

    // Splits the name SERVICE/REST at the last slash and returns the service;
    // null after reporting a fault.
    service_spec* split_name(section_reader& reader, std::string_view name,
                             std::string_view& rest);

    std::shared_ptr<document> built;
    problem_list problems;
    document_lines lines;
    boost::property_tree::ptree tree;
    std::set<std::string, std::less<>> failure_domains;
    // Position of each group in its service, by SERVICE/GROUP.
    std::map<std::string, std::size_t, std::less<>> group_positions;
    // Name of each replica and the section that named it first.
    std::map<std::string, std::string, std::less<>> replica_sections;
};

}

#endif
