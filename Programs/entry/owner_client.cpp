#include "owner_client.hpp"

#include "clock.hpp"
#include "net/http_client.hpp"
#include "rpc/peer_rpc.hpp"
#include "telemetry/log.hpp"

#include <stdexcept>
#include <utility>

namespace wisteriahatch
{

std::chrono::milliseconds remaining_until(time_point deadline)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                                 clock_now());
}

run_answer forward_to_owner(const run_request& request, const run_id& id,
                            time_point deadline)
{
    const auto remaining = remaining_until(deadline);
    const auto owner = parse_endpoint(id.instance);
    if (!owner || remaining <= std::chrono::milliseconds::zero())
        return {};
    run_request forwarded = request;
    forwarded.deadline = remaining;
    const auto transport = [&](const std::string& message)
    {
        http_client_request post;
        post.method = "POST";
        post.target = "/rpc/run";
        post.body = message;
        post.timeout = remaining;
        auto reply = fetch_blocking(owner.value(), post);
        if (!reply)
            throw std::runtime_error(reply.error().message);
        return reply.value().body;
    };
    try
    {
        const auto text =
            call_peer(transport, "run.forward", encode_run_request(forwarded));
        auto answer = decode_run_answer(text);
        return answer ? std::move(answer.value()) : run_answer{};
    }
    catch (const std::runtime_error& failure)
    {
        log_event(log_level::warning, "run_forward_failed",
                  {{"run_id", request.run_id}, {"reason", failure.what()}});
        return {};
    }
}

}
