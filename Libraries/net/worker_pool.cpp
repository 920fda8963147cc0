#include "net/worker_pool.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <exception>
#include <iostream>

namespace wisteriahatch
{

namespace
{

thread_local std::size_t current_worker = 0;

}

// An io_context whose pending handlers can be destroyed before it is.
class worker_pool::context : public boost::asio::io_context
{
public:
    // Concurrency hint: lets Asio omit wake-ups that only several threads would
    // need. Posting from other threads is still allowed.
    static constexpr int threads_per_context = 1;

    context()
        : boost::asio::io_context(threads_per_context)
    {
    }

    void discard_handlers()
    {
        this->shutdown();
    }
};

worker_pool::worker_pool(std::size_t workers)
{
    for (std::size_t worker = 0; worker < workers; ++worker)
        this->contexts.push_back(std::make_unique<context>());
}

worker_pool::~worker_pool()
{
    this->stop();
    // A pending handler of one worker may own sockets or timers of another, so
    // all handlers are destroyed before the first io_context is.
    for (auto& io : this->contexts)
        io->discard_handlers();
}

void worker_pool::start()
{
    for (std::size_t worker = 0; worker < this->contexts.size(); ++worker)
        this->threads.emplace_back(
            [worker, io = this->contexts[worker].get()]
            {
                current_worker = worker;
                auto guard = boost::asio::make_work_guard(*io);
                while (!io->stopped())
                {
                    try
                    {
                        io->run();
                    }
                    catch (const std::exception& failure)
                    {
                        // A fault in one request must not terminate the
                        // process.
                        std::cerr << "worker " << worker
                                  << ": unhandled exception: " << failure.what()
                                  << '\n';
                    }
                }
            });
}

void worker_pool::stop()
{
    for (auto& io : this->contexts)
        io->stop();
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

std::size_t worker_pool::size() const
{
    return this->contexts.size();
}

boost::asio::io_context& worker_pool::at(std::size_t worker)
{
    return *this->contexts.at(worker);
}

std::size_t worker_pool::current()
{
    return current_worker;
}

}
