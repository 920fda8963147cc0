#include "net/http_client.hpp"
#include "net/stop_signal.hpp"
#include "StandIns/store/stand_in_store.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:9600", "IP:PORT to listen on");

int main(int argument_count, char** arguments)
{
    using namespace wisteriahatch;
    gflags::SetUsageMessage("stand-in for the platform's metadata store; POST "
                            "/put?key=K, /remove?key=K, /forget and "
                            "/mode?name=MODE change it");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const auto listen = parse_endpoint(FLAGS_listen);
    if (!listen)
    {
        std::cerr << "stand-in-store: " << listen.error().message << '\n';
        return 2;
    }
    worker_pool workers(1);
    stand_in_store store(workers, listen.value());
    const auto started = store.start();
    if (!started)
    {
        std::cerr << "stand-in-store: " << started.error().message << '\n';
        return 1;
    }
    workers.start();
    std::cout << "listening store " << store.endpoint() << "\nready"
              << std::endl;
    wait_for_stop_signal();
    workers.stop();
    return 0;
}
