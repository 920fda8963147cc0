#include "class_report.hpp"
#include "arrival_schedule.hpp"

#include <doctest/doctest.h>

using namespace wisteriahatch;

// Guards against wrong quantiles, and against counting late or refused requests
// as goodput.
TEST_CASE("figures follow from the recorded requests")
{
    class_report report;
    for (int latency = 1; latency <= 1000; ++latency)
    {
        report.record({.latency = std::chrono::milliseconds(latency),
                       .deadline = std::chrono::milliseconds(900),
                       .covered = 3,
                       .lacked = latency % 2 == 0 ? 1U : 0U,
                       .is_complete = latency % 2 != 0});
    }
    report.record({.latency = std::chrono::milliseconds(1),
                   .deadline = std::chrono::milliseconds(900),
                   .error = "overloaded"});
    report.count_cut(true);
    const auto figures = report.to_json(std::chrono::seconds(10));
    const auto number = [](const boost::json::value& value)
    { return value.to_number<double>(); };
    CHECK(number(figures.at("requests")) == 1001);
    CHECK(number(figures.at("goodput")) == 900);
    CHECK(number(figures.at("goodput_s")) == 90);
    CHECK(number(figures.at("coverage_mean")) == doctest::Approx(0.875));
    CHECK(number(figures.at("shards_per_query")) == doctest::Approx(3.5));
    CHECK(number(figures.at("complete_ratio")) == 0.5);
    CHECK(number(figures.at("cut")) == 1);
    const auto& answer = figures.at("answer_ms").as_object();
    CHECK(number(answer.at("p50")) == doctest::Approx(500).epsilon(0.011));
    CHECK(number(answer.at("p99")) == doctest::Approx(990).epsilon(0.011));
    CHECK(number(answer.at("max")) == 1000);
}

// Guards against a schedule that is slower than the requested rate, or differs
// between runs with the same seed.
TEST_CASE("arrivals have the requested rates and repeat with the same seed")
{
    for (const auto process :
         {arrival_process::poisson, arrival_process::uniform})
    {
        arrival_schedule first({900, 100}, process, 7);
        arrival_schedule second({900, 100}, process, 7);
        duration last{0};
        std::size_t of_second_class = 0;
        for (int i = 0; i < 10000; ++i)
        {
            const arrival next = first.next();
            CHECK(next.offset == second.next().offset);
            CHECK(next.offset >= last);
            last = next.offset;
            of_second_class += next.caller_class;
        }
        const double seconds = std::chrono::duration<double>(last).count();
        CHECK(seconds == doctest::Approx(10).epsilon(0.05));
        CHECK(of_second_class == doctest::Approx(1000).epsilon(0.1));
    }
}
