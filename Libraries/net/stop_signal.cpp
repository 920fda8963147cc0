#include "net/stop_signal.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace wisteriahatch
{

void wait_for_stop_signal()
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code&, int) {});
    context.run();
}

}
