#ifndef WISTERIAHATCH_GATEWAY_PEER_SOURCE_HPP
#define WISTERIAHATCH_GATEWAY_PEER_SOURCE_HPP

#include "net/configuration_source.hpp"
#include "source_watcher.hpp"

#include <string>
#include <string_view>

namespace wisteriahatch
{

class peer_exchange;

// Encode and decode the parameters of the RPC method routing.changes.
std::string encode_routing_position(const routing_position& position);
result<routing_position> decode_routing_position(std::string_view text);

// Reads routing from the peer that watches the configuration source for this
// failure domain. This saves calls to the store, which are charged for and
// whose limit all instances share, and keeps the traffic within the domain.
class peer_source : public configuration_source
{
public:
    peer_source(peer_exchange& peers, const source_watcher& watcher);

    // After a failure, or a snapshot that is not later than what is known, the
    // next call asks another instance.
    boost::asio::awaitable<result<routing_snapshot>> read() override;
    // Returns without waiting for changes; `wait` is ignored. Fails when the
    // reader itself has not heard from the source for too long. After a failure
    // the next call asks another instance.
    boost::asio::awaitable<result<routing_changes>>
    watch(std::uint64_t revision, std::chrono::milliseconds wait) override;

private:
    peer_exchange* peers;
    const source_watcher* watcher;
};

}

#endif
