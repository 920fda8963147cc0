#ifndef WISTERIAHATCH_ENTRY_ADMISSION_GATE_HPP
#define WISTERIAHATCH_ENTRY_ADMISSION_GATE_HPP

#include "core/process/admission_controller.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>

namespace wisteriahatch
{

// Holds the queries of one service on one worker until the admission controller
// admits or refuses them. Only that worker may use it.
class admission_gate
{
public:
    explicit admission_gate(boost::asio::io_context& worker);

    // The decision on one query. Pass the id of an admitted query to leave().
    struct decision
    {
        query_id id;
        bool is_admitted = false;
    };

    // Waits until the query may start or is refused.
    boost::asio::awaitable<decision> enter(unsigned priority,
                                           time_point deadline);
    // Records the end of an admitted query; `latency` is the time since its
    // admission.
    void leave(query_id id, admission_outcome outcome, duration latency);

private:
    struct waiter
    {
        // Never expires; cancelled when the decision is made.
        boost::asio::steady_timer decided;
        bool has_decision = false;
        bool is_admitted = false;
    };

    void apply(const admission_controller::actions& actions);
    void decide(query_id id, bool is_admitted);
    void arm_timer();

    boost::asio::io_context* worker;
    admission_controller controller;
    std::uint64_t next_id = 1;
    std::map<query_id, std::shared_ptr<waiter>> waiters;
    boost::asio::steady_timer timer;
};

}

#endif
