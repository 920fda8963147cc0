#include "telemetry/metrics.hpp"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace wisteriahatch;

// Guards against renamed series and wrong bucket bounds, which dashboards and
// Meta scripts read.
TEST_CASE("recorded values appear in the text format")
{
    metrics recorded;
    recorded.observe_query("counter", std::chrono::milliseconds(1), 1, 1);
    recorded.observe_query("counter", std::chrono::seconds(11), 0.95, 1.5);
    recorded.count_run("label", "done", std::chrono::milliseconds(20));
    recorded.count_error("overloaded");
    recorded.count_upstream_failure("counter-quote", "connect_failed");
    recorded.count_document("stale");
    recorded.set_document_serial(12);
    recorded.instance().set_members(9);
    recorded.instance().set_running_requests(3);
    recorded.instance().set_ready(true);
    recorded.count_control_bytes(100, 200);
    const std::string text = recorded.text();
    for (const char* line :
         {"wisteriahatch_query_duration_seconds_bucket{class=\"counter\","
          "le=\"0.001\"} 1\n",
          "wisteriahatch_query_duration_seconds_bucket{class=\"counter\","
          "le=\"10\"} 1\n",
          "wisteriahatch_query_duration_seconds_bucket{class=\"counter\","
          "le=\"+Inf\"} 2\n",
          "wisteriahatch_query_duration_seconds_sum{class=\"counter\"} 11.001",
          "wisteriahatch_query_coverage_ratio_bucket{class=\"counter\","
          "le=\"0.95\"} 1\n",
          "wisteriahatch_query_load_ratio_bucket{class=\"counter\","
          "le=\"1\"} 1\n",
          "wisteriahatch_run_duration_seconds_count{class=\"label\","
          "outcome=\"done\"} 1\n",
          "wisteriahatch_errors_total{kind=\"overloaded\"} 1\n",
          "wisteriahatch_upstream_failures_total{kind=\"connect_failed\","
          "service=\"counter-quote\"} 1\n",
          "wisteriahatch_documents_total{result=\"stale\"} 1\n",
          "wisteriahatch_document_serial 12\n",
          "wisteriahatch_members_alive 9\n",
          "wisteriahatch_running_requests 3\n", "wisteriahatch_ready 1\n",
          "wisteriahatch_control_bytes_total{direction=\"sent\"} 100\n",
          "wisteriahatch_control_bytes_total{direction=\"received\"} 200\n"})
    {
        CAPTURE(line);
        CAPTURE(text);
        CHECK(text.find(line) != std::string::npos);
    }
}

// Guards against lost increments when workers record the same series, and
// against a thread's cache finding the series of a destroyed registry.
TEST_CASE("threads share series and registries do not")
{
    for (int round = 0; round < 2; ++round)
    {
        metrics recorded;
        constexpr int recordings = 1000;
        std::vector<std::thread> workers;
        for (int worker = 0; worker < 4; ++worker)
        {
            workers.emplace_back(
                [&]
                {
                    for (int i = 0; i < recordings; ++i)
                    {
                        recorded.count_error("internal");
                        recorded.observe_query("c", duration(1), 1, 1);
                    }
                });
        }
        for (std::thread& worker : workers)
            worker.join();
        recorded.count_error("internal");
        const std::string text = recorded.text();
        CHECK(text.find("errors_total{kind=\"internal\"} 4001\n") !=
              std::string::npos);
        CHECK(text.find("query_coverage_ratio_count{class=\"c\"} 4000\n") !=
              std::string::npos);
    }
}
