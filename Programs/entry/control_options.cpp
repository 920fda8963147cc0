#include "control_options.hpp"

#include "net/http_client.hpp"

#include <chrono>
#include <random>

namespace wisteriahatch
{

namespace
{

std::uint64_t wall_clock_milliseconds()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
            .count());
}

}

std::uint64_t random_seed()
{
    std::random_device seeds;
    return (std::uint64_t{seeds()} << 32U) | seeds();
}

document_store::options store_options(const settings& values)
{
    document_store::options chosen;
    chosen.instance = format_endpoint(values.peer_address);
    chosen.environment = values.environment;
    return chosen;
}

membership::options member_options(const settings& values, incarnation self)
{
    membership::options chosen;
    chosen.self.address = format_endpoint(values.peer_address);
    chosen.self.failure_domain = values.failure_domain;
    chosen.self.nonce = self;
    chosen.self.epoch = wall_clock_milliseconds();
    chosen.seeds = values.seeds;
    return chosen;
}

}
