#include "core/version/document_check.hpp"
#include "core/version/document_delta.hpp"
#include "measures.hpp"
#include "sample_document.hpp"

#include <stdexcept>

namespace wisteriahatch
{

namespace
{

constexpr const char* role = "entry";

// A document and its successor, which differs in the serial and in the deadline
// of the last class.
struct document_change
{
    std::string before;
    std::string after;
};

document_change make_change(std::size_t bytes)
{
    document_change change{.before = make_document_of_size(bytes, 1),
                           .after = make_document_of_size(bytes, 2)};
    const std::string line = "deadline_ms = 800";
    change.after.replace(change.after.rfind(line), line.size(),
                         "deadline_ms = 700");
    return change;
}

std::size_t count_servers(const document& configuration)
{
    std::size_t servers = 0;
    for (const auto& [name, service] : configuration.services)
    {
        for (const group_spec& group : service.groups)
            servers += group.replicas.size();
    }
    return servers;
}

}

measurements measure_document(const bench_options& options)
{
    const document_change change = make_change(options.size);
    const std::size_t before = allocated_bytes();
    const document_check checked = check_document(change.before);
    const std::size_t memory = allocated_bytes() - before;
    if (!checked.accepted)
        throw std::runtime_error(to_string(checked.problems.front()));
    const std::string delta =
        encode_delta(compute_delta(change.before, change.after));
    return {{role, "document_text", options.size,
             static_cast<double>(change.before.size()), "bytes"},
            {role, "document_servers", options.size,
             static_cast<double>(count_servers(*checked.accepted)), "servers"},
            {role, "document_memory", options.size, static_cast<double>(memory),
             "bytes"},
            {role, "document_delta", options.size,
             static_cast<double>(delta.size()), "bytes"}};
}

measurements measure_fleet_document(const bench_options& options)
{
    // At the size planned for the next two years, queries go to 110 servers,
    // one of each group of 3.
    constexpr std::size_t groups = 110;
    const std::string text = make_sample_document(
        {.services = options.size / (3 * groups), .groups = groups});
    return {{role, "fleet_document_text", options.size,
             static_cast<double>(text.size()), "bytes"}};
}

measurements measure_document_check(const bench_options& options)
{
    const std::string text = make_document_of_size(options.size, 1);
    std::size_t accepted = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
        accepted += check_document(text).accepted ? 1 : 0;
    return {{role, "documents_accepted", options.size,
             static_cast<double>(accepted), "documents"}};
}

measurements measure_document_diff(const bench_options& options)
{
    const document_change change = make_change(options.size);
    std::size_t bytes = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
        bytes +=
            encode_delta(compute_delta(change.before, change.after)).size();
    return {{role, "delta_bytes_encoded", options.size,
             static_cast<double>(bytes), "bytes"}};
}

measurements measure_document_apply(const bench_options& options)
{
    const document_change change = make_change(options.size);
    const std::string encoded =
        encode_delta(compute_delta(change.before, change.after));
    std::size_t applied = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
    {
        const auto delta = decode_delta(encoded);
        const auto text = apply_delta(change.before, delta.value());
        applied += text.value() == change.after ? 1 : 0;
    }
    return {{role, "deltas_applied", options.size, static_cast<double>(applied),
             "deltas"}};
}

}
