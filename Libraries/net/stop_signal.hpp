#ifndef WISTERIAHATCH_NET_STOP_SIGNAL_HPP
#define WISTERIAHATCH_NET_STOP_SIGNAL_HPP

namespace wisteriahatch
{

// Blocks the calling thread until the process receives SIGTERM or SIGINT.
void wait_for_stop_signal();

}

#endif
