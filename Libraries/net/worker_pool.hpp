#ifndef WISTERIAHATCH_NET_WORKER_POOL_HPP
#define WISTERIAHATCH_NET_WORKER_POOL_HPP

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace wisteriahatch
{

// A fixed number of io_contexts, each run by one thread. A request stays on
// the worker that accepted it. Declare servers and pools that use the workers
// after the worker_pool, so that they are destroyed first.
class worker_pool
{
public:
    explicit worker_pool(std::size_t workers);
    ~worker_pool();

    // Starts the threads.
    void start();
    // Stops every io_context and joins the threads. Must not be called from a
    // worker.
    void stop();

    std::size_t size() const;
    boost::asio::io_context& at(std::size_t worker);
    // Index of the worker that runs the calling thread; 0 on other threads.
    static std::size_t current();

private:
    class context;

    std::vector<std::unique_ptr<context>> contexts;
    std::vector<std::thread> threads;
};

}

#endif
