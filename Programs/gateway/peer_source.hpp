#ifndef WISTERIAHATCH_GATEWAY_PEER_SOURCE_HPP
#define WISTERIAHATCH_GATEWAY_PEER_SOURCE_HPP

#include "net/configuration_source.hpp"
#include "source_watcher.hpp"

#include <string>
#include <string_view>

namespace wisteriahatch
{

class peer_exchange;

// Writes the parameters of routing.changes, and reads them.
std::string encode_routing_position(const routing_position& known);
result<routing_position> decode_routing_position(std::string_view text);

// The instance that watches the configuration source for its failure domain,
// asked by the others of that domain. The store's calls are shared by all
// instances and priced, and the bytes stay in the domain.
class peer_source : public configuration_source
{
public:
    peer_source(peer_exchange& peers, const source_watcher& watcher);

    boost::asio::awaitable<result<routing_snapshot>> read() override;
    // Answers at once, whatever `wait` is.
    boost::asio::awaitable<result<routing_changes>>
    watch(std::uint64_t revision, std::chrono::milliseconds wait) override;

private:
    peer_exchange* peers;
    const source_watcher* watcher;
};

}

#endif
