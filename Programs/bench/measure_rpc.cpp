#include "core/process/gossip_codec.hpp"
#include "measures.hpp"
#include "rpc/peer_rpc.hpp"

namespace wisteriahatch
{

measurements measure_rpc(const bench_options& options)
{
    gossip_message message;
    for (std::size_t index = 0; index < options.size; ++index)
    {
        message.records.push_back(
            {.address = "10.0.0." + std::to_string(index % 250) + ":9100",
             .failure_domain = "jm-kgn",
             .nonce = {0x123456789abcdef0ULL + index},
             .epoch = 1'700'000'000'000 + index});
    }
    message.sender = {
        .address = "10.0.0.1:9100",
        .failure_domain = "jm-kgn",
        .nonce = {0x123456789abcdef0ULL},
        .epoch = 1'700'000'000'000,
        .document = {.serial = 1, .digest = std::string(64, 'a')}};
    std::string text = encode_gossip(message);
    rpc_server server;
    server.add("gossip.exchange", [&text](const std::string&) { return text; });
    std::size_t request_bytes = 0;
    std::size_t response_bytes = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
    {
        call_peer(
            [&](const std::string& request)
            {
                std::string response = server.handle(request);
                request_bytes = request.size();
                response_bytes = response.size();
                return response;
            },
            "gossip.exchange", text);
    }
    return {{"entry", "rpc_request", options.size,
             static_cast<double>(request_bytes), "bytes"},
            {"entry", "rpc_response", options.size,
             static_cast<double>(response_bytes), "bytes"},
            {"entry", "gossip_text", options.size,
             static_cast<double>(text.size()), "bytes"}};
}

}
