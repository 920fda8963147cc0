#include "core/process/directory.hpp"
#include "measures.hpp"

namespace wisteriahatch
{

namespace
{

constexpr const char* role = "platform";

// One entry instance per five upstreams, roughly the ratio at the size planned
// for the next two years.
constexpr std::size_t instances_per_entry = 6;

directory make_directory(std::size_t instances)
{
    directory list{.revision = 1};
    for (std::size_t index = 0; index < instances; ++index)
    {
        const bool is_entry = index % instances_per_entry == 0;
        const std::string host = "10." + std::to_string(index / 62500) + "." +
                                 std::to_string(index / 250 % 250) + "." +
                                 std::to_string(index % 250);
        list.instances.push_back(
            {.name = (is_entry ? "entry-" : "server-") + std::to_string(index),
             .role = is_entry ? instance_role::entry : instance_role::upstream,
             .address = host + ":8080",
             .peer_address = is_entry ? host + ":8082" : "",
             .failure_domain = "fd-" + std::to_string(index % 23)});
    }
    return list;
}

}

measurements measure_directory(const bench_options& options)
{
    const std::string text = encode_directory(make_directory(options.size));
    const std::size_t before = allocated_bytes();
    const auto decoded = decode_directory(text);
    return {{role, "directory_instances", options.size,
             static_cast<double>(decoded.value().instances.size()),
             "instances"},
            {role, "directory_text", options.size,
             static_cast<double>(text.size()), "bytes"},
            {role, "directory_memory", options.size,
             static_cast<double>(allocated_bytes() - before), "bytes"}};
}

measurements measure_directory_decode(const bench_options& options)
{
    const std::string text = encode_directory(make_directory(options.size));
    std::size_t decoded = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
        decoded += decode_directory(text).value().instances.size();
    return {{role, "instances_decoded", options.size,
             static_cast<double>(decoded), "instances"}};
}

}
