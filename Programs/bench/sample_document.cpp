#include "sample_document.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace wisteriahatch
{

namespace
{

constexpr std::array<const char*, 4> domains = {"jm-kgn", "jm-spt", "jm-mdv",
                                                "jm-mby"};

// Returns the number with at least two digits, as in the example documents.
std::string number_text(std::size_t number)
{
    const std::string digits = std::to_string(number);
    return digits.size() < 2 ? "0" + digits : digits;
}

void write_group(std::ostream& out, const std::string& service,
                 std::size_t group)
{
    const std::string number = number_text(group);
    out << "[group " << service << '/' << number << "]\nreplicas = ";
    for (std::size_t replica = 0; replica < 3; ++replica)
    {
        out << (replica == 0 ? "" : ", ") << service << '-' << number << '-'
            << static_cast<char>('a' + replica) << '@'
            << domains.at((group + replica) % domains.size());
    }
    out << '\n';
}

void write_service(std::ostream& out, const std::string& service,
                   std::size_t groups)
{
    out << "[service " << service << "]\nslots = 3\nconnections = 30\n"
        << "new_connection_ms = 6\nload_reports = yes\n";
    for (std::size_t group = 0; group < groups; ++group)
        write_group(out, service, group);
    out << "[index " << service << "/1]\nshards = ";
    for (std::size_t group = 0; group < groups; ++group)
    {
        out << (group == 0 ? "" : ", ") << 's' << number_text(group) << '@'
            << number_text(group);
    }
    out << "\n[class " << service << "-counter]\nservice = " << service
        << "\ndeadline_ms = 800\npriority = 0\ncoverage_floor_percent = 100\n"
        << "partial = refused\nhedge_budget_percent = 5\nidempotent = yes\n";
}

}

std::string make_sample_document(const sample_document_options& options)
{
    std::ostringstream out;
    out << "[document]\nenvironment = bench\nserial = " << options.serial
        << "\n[fleet]\nfailure_domains = ";
    for (std::size_t index = 0; index < domains.size(); ++index)
        out << (index == 0 ? "" : ", ") << domains.at(index);
    out << "\nmax_entry_instances = " << options.max_entry_instances << '\n';
    for (std::size_t service = 0; service < options.services; ++service)
        write_service(out, "svc-" + number_text(service), options.groups);
    return out.str();
}

std::string make_document_of_size(std::size_t bytes, std::uint64_t serial)
{
    const std::size_t one =
        make_sample_document({.serial = serial, .services = 1}).size();
    const std::size_t two =
        make_sample_document({.serial = serial, .services = 2}).size();
    const std::size_t services =
        bytes <= one ? 1 : 1 + (bytes - one) / (two - one);
    std::string text = make_sample_document(
        {.serial = serial, .services = std::max<std::size_t>(services, 1)});
    return text;
}

}
