#include "net/http_client.hpp"
#include "net/stop_signal.hpp"
#include "StandIns/platform/stand_in_platform.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>

DEFINE_string(listen, "127.0.0.1:9500", "IP:PORT to listen on");
DEFINE_string(document, "", "file with the document to publish at startup");
DEFINE_string(instances, "",
              "file with {\"instances\":[...]} to publish at startup");

namespace
{

using namespace wisteriahatch;

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return error{error_kind::invalid_settings,
                     "can't read \"" + path + "\""};
    return std::string(std::istreambuf_iterator<char>(file), {});
}

// Publishes the files named by the flags.
result<void> publish_files(stand_in_platform& platform)
{
    if (!FLAGS_document.empty())
    {
        BOOST_OUTCOME_TRY(auto bytes, read_file(FLAGS_document));
        platform.put_document(std::move(bytes));
    }
    if (!FLAGS_instances.empty())
    {
        BOOST_OUTCOME_TRY(auto bytes, read_file(FLAGS_instances));
        BOOST_OUTCOME_TRY(platform.put_instances(bytes));
    }
    return boost::outcome_v2::success();
}

result<void> run()
{
    BOOST_OUTCOME_TRY(auto listen, parse_endpoint(FLAGS_listen));
    worker_pool workers(1);
    stand_in_platform platform(workers, listen);
    BOOST_OUTCOME_TRY(publish_files(platform));
    BOOST_OUTCOME_TRY(platform.start());
    workers.start();
    std::cout << "listening platform " << platform.endpoint() << "\nready"
              << std::endl;
    wait_for_stop_signal();
    workers.stop();
    return boost::outcome_v2::success();
}

}

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("stand-in for the platform");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto outcome = run();
    if (outcome)
        return 0;
    std::cerr << "stand-in-platform: " << outcome.error().message << '\n';
    return 1;
}
