#ifndef WISTERIAHATCH_ENTRY_QUERY_API_HPP
#define WISTERIAHATCH_ENTRY_QUERY_API_HPP

#include "admission_gate.hpp"
#include "core/process/pause_detector.hpp"
#include "core/request/wire.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"
#include "telemetry/metrics.hpp"
#include "worker_context.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Handles POST /v1/query on the worker that accepted it.
class query_api
{
public:
    struct options
    {
        worker_pool* workers = nullptr;
        std::vector<worker_context>* contexts = nullptr;
        upstream_pool* upstreams = nullptr;
        metrics* measures = nullptr;
        const pause_detector* pauses = nullptr;
        std::string failure_domain;
    };

    explicit query_api(options opts);

    boost::asio::awaitable<http_reply> handle(http_request request);

private:
    // A decoded query and the parts of the serving view that it uses.
    struct resolved_query
    {
        query_request request;
        std::shared_ptr<const serving_view> view;
        const service_spec* service = nullptr;
        const class_spec* caller_class = nullptr;
        service_state* shared_state = nullptr;
        time_point deadline;
    };

    // Decodes the query and looks up its service and class.
    result<resolved_query> resolve(const http_request& request);
    boost::asio::awaitable<query_answer>
    run(const resolved_query& resolved, std::shared_ptr<bool> is_caller_gone);
    // Returns the service's gate on the calling worker.
    admission_gate& gate_of(const std::string& service);
    http_reply reply_to(const resolved_query& resolved, time_point received,
                        const query_answer& answer);

    using service_gates =
        std::map<std::string, std::unique_ptr<admission_gate>, std::less<>>;

    options config;
    // One map per worker; each worker uses only its own.
    std::vector<service_gates> gates;
};

// Returns the HTTP status of an error reply to a caller.
unsigned http_status(error_kind kind);

// Returns the HTTP reply to a caller for an error, and counts the error.
http_reply error_reply(metrics& measures, const error& failure);

}

#endif
