#ifndef WISTERIAHATCH_ENTRY_WORKER_CONTEXT_HPP
#define WISTERIAHATCH_ENTRY_WORKER_CONTEXT_HPP

#include "serving_view.hpp"

#include <cstddef>
#include <random>
#include <vector>

namespace wisteriahatch
{

// State of one worker thread: its reader of the serving view and its random
// number generator. Only that thread may use it.
struct worker_context
{
    published_view::reader view;
    std::mt19937_64 random;
};

// Creates one context per worker, each seeded from std::random_device.
inline std::vector<worker_context>
make_worker_contexts(const published_view& views, std::size_t workers)
{
    std::random_device seeds;
    std::vector<worker_context> contexts;
    contexts.reserve(workers);
    for (std::size_t worker = 0; worker < workers; ++worker)
        contexts.push_back(
            {published_view::reader(views), std::mt19937_64(seeds())});
    return contexts;
}

}

#endif
