#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_LOAD_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_LOAD_HPP

namespace wisteriahatch
{

// The load that an upstream reports in a reply.
struct upstream_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    // Requests that can run at once.
    unsigned slots = 0;
    // Time that the upstream takes for a request over the usual time.
    double time_ratio = 1;
};

}

#endif
