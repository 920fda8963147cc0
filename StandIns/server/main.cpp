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

DEFINE_string(servers, "", "ID@IP:PORT=MODE,... of the servers");
DEFINE_int32(delay_ms, 0, "time between running and answering a request");
DEFINE_string(body, "", "body of every answer; empty for 16 bytes of the id");

namespace
{

using namespace wisteriahatch;

// Bytes of a record, so that an answer is also a part of a merged one.
constexpr std::size_t part_bytes = 16;

result<void> add_server(std::deque<stand_in_server>& servers,
                        worker_pool& workers, const std::string& text)
{
    const auto at = text.find('@');
    const auto equals = std::min(text.find('=', at), text.size());
    if (at == std::string::npos)
        return error{error_kind::invalid_settings,
                     "\"" + text + "\" is not ID@IP:PORT"};
    BOOST_OUTCOME_TRY(const auto listen,
                      parse_endpoint(text.substr(at + 1, equals - at - 1)));
    const auto id = text.substr(0, at);
    auto body = FLAGS_body.empty() ? id : FLAGS_body;
    if (FLAGS_body.empty())
        body.resize(part_bytes, ' ');
    auto& server = servers.emplace_back(
        workers,
        stand_in_server::options{.listen = listen, .id = id, .body = body});
    if (equals < text.size())
    {
        const auto* mode = find_server_mode(text.substr(equals + 1));
        if (mode == nullptr)
            return error{error_kind::invalid_settings,
                         "\"" + text + "\" names an unknown mode"};
        server.set_mode(*mode);
    }
    server.set_delay(std::chrono::milliseconds(FLAGS_delay_ms));
    return server.start();
}

result<void> run()
{
    std::vector<std::string> words;
    boost::algorithm::split(words, FLAGS_servers, boost::is_any_of(","));
    worker_pool workers(1);
    std::deque<stand_in_server> servers;
    for (const auto& word : words)
    {
        BOOST_OUTCOME_TRY(add_server(servers, workers, word));
    }
    workers.start();
    std::cout << "ready" << std::endl;
    wait_for_stop_signal();
    for (std::size_t index = 0; index < servers.size(); ++index)
        std::cout << "runs " << words[index] << ' '
                  << servers[index].runs().size() << std::endl;
    workers.stop();
    return boost::outcome_v2::success();
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("stand-in for servers behind the platform");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto ended = run();
    if (ended)
        return 0;
    std::cerr << "stand-in-server: " << ended.error().message << '\n';
    return 1;
}
