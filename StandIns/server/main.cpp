#include "net/http_client.hpp"
#include "net/stop_signal.hpp"
#include "StandIns/server/stand_in_server.hpp"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <deque>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(servers, "", "comma-separated ID@IP:PORT or ID@IP:PORT=MODE");
DEFINE_int32(delay_ms, 0, "time between running a request and replying to it");
DEFINE_int32(warm_up_ms, 0, "how long replies state that servers are cold");
DEFINE_string(
    body, "",
    "body of every reply; if empty, the server's id cut or padded to 16 bytes");

namespace
{

using namespace wisteriahatch;

// Size of one record. The default body is one record, so that the gateway can
// merge it with the records of other shards.
constexpr std::size_t record_bytes = 16;

result<void> add_server(std::deque<stand_in_server>& servers,
                        worker_pool& workers, const std::string& spec)
{
    const auto at = spec.find('@');
    const auto equals = std::min(spec.find('=', at), spec.size());
    if (at == std::string::npos)
        return error{error_kind::invalid_settings,
                     "server \"" + spec +
                         "\" is not of the form ID@IP:PORT or "
                         "ID@IP:PORT=MODE"};
    BOOST_OUTCOME_TRY(const auto listen,
                      parse_endpoint(spec.substr(at + 1, equals - at - 1)));
    const auto id = spec.substr(0, at);
    auto body = FLAGS_body.empty() ? id : FLAGS_body;
    if (FLAGS_body.empty())
        body.resize(record_bytes, ' ');
    auto& server = servers.emplace_back(
        workers,
        stand_in_server::options{.listen = listen, .id = id, .body = body});
    if (equals < spec.size())
    {
        const auto* mode = find_server_mode(spec.substr(equals + 1));
        if (mode == nullptr)
            return error{error_kind::invalid_settings,
                         "server \"" + spec + "\" has an unknown mode"};
        server.set_mode(*mode);
    }
    server.set_delay(std::chrono::milliseconds(FLAGS_delay_ms));
    server.set_warm_up_left(std::chrono::milliseconds(FLAGS_warm_up_ms));
    return server.start();
}

result<void> run()
{
    std::vector<std::string> specs;
    boost::algorithm::split(specs, FLAGS_servers, boost::is_any_of(","));
    worker_pool workers(1);
    std::deque<stand_in_server> servers;
    for (const auto& spec : specs)
    {
        BOOST_OUTCOME_TRY(add_server(servers, workers, spec));
    }
    workers.start();
    std::cout << "ready" << std::endl;
    wait_for_stop_signal();
    for (std::size_t index = 0; index < servers.size(); ++index)
        std::cout << "runs " << specs[index] << ' '
                  << servers[index].runs().size() << std::endl;
    workers.stop();
    return boost::outcome_v2::success();
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("stand-in for servers behind the platform");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto outcome = run();
    if (outcome)
        return 0;
    std::cerr << "stand-in-server: " << outcome.error().message << '\n';
    return 1;
}
