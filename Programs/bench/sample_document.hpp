#ifndef WISTERIAHATCH_BENCH_SAMPLE_DOCUMENT_HPP
#define WISTERIAHATCH_BENCH_SAMPLE_DOCUMENT_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace wisteriahatch
{

// Parameters of a generated document.
struct sample_document_options
{
    std::uint64_t serial = 1;
    // Number of services, each with `groups` groups of 3 replicas and one shard
    // per group.
    std::size_t services = 1;
    std::size_t groups = 10;
    std::size_t max_entry_instances = 12;
};

// Returns a document that check_document accepts.
std::string make_sample_document(const sample_document_options& options);

// Returns a document with about as many services of 10 groups as fit into
// `bytes` bytes, and at least one.
std::string make_document_of_size(std::size_t bytes, std::uint64_t serial);

}

#endif
