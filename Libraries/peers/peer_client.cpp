#include "peers/peer_client.hpp"

#include "net/http_client.hpp"
#include "rpc/peer_rpc.hpp"

#include <boost/asio/post.hpp>
#include <stdexcept>
#include <utility>

namespace wisteriahatch
{

namespace
{

namespace asio = boost::asio;

// The directory of the largest planned fleet is up to 8 MB in size.
constexpr std::size_t max_reply_bytes = 10UL * 1024 * 1024;

result<std::string> call_blocking(const peer_client::options& client_options,
                                  const std::string& address,
                                  const std::string& method,
                                  const std::string& parameters)
{
    BOOST_OUTCOME_TRY(const auto server, parse_endpoint(address));
    const auto transport = [&](const std::string& message)
    {
        http_client_request request;
        request.method = "POST";
        request.target = "/rpc/control";
        request.body = message;
        request.timeout = client_options.timeout;
        request.max_reply_bytes = max_reply_bytes;
        auto reply = fetch_blocking(server, request);
        if (!reply)
            throw std::runtime_error(reply.error().message);
        if (client_options.count_bytes)
            client_options.count_bytes(message.size(),
                                       reply.value().body.size());
        return std::move(reply.value().body);
    };
    try
    {
        return call_peer(transport, method, parameters);
    }
    catch (const std::runtime_error& failure)
    {
        return error{error_kind::connect_failed, failure.what()};
    }
}

}

peer_client::peer_client(options opts)
    : client_options(std::move(opts))
    , call_threads(this->client_options.threads)
{
}

void peer_client::call(const std::string& address, std::string method,
                       std::string parameters, handler done)
{
    asio::post(this->call_threads,
               [this, address, method = std::move(method),
                parameters = std::move(parameters),
                done = std::move(done)]() mutable
               {
                   auto answer = call_blocking(this->client_options, address,
                                               method, parameters);
                   asio::post(*this->client_options.control,
                              [done = std::move(done),
                               answer = std::move(answer)]() mutable
                              { done(std::move(answer)); });
               });
}

void peer_client::stop()
{
    this->call_threads.join();
}

}
