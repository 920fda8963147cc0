#include "forwarder.hpp"

#include "core/request/record_merge.hpp"
#include "gateway/gateway_fixture.hpp"

#include <algorithm>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against passing on a reply that is truncated or not the server's own,
// against a second run of an at-most-once request, and against a refusal of a
// request that has run.
TEST_CASE_FIXTURE(gateway_fixture, "replies of one server in each mode")
{
    struct scenario
    {
        server_mode mode;
        unsigned idempotent, once;
        std::size_t idempotent_runs, once_runs;
    };
    auto& server = this->add_server("plain", "i-1");
    this->put_config(1, 0);
    this->wait_for(1, 1);
    for (const auto& each :
         {scenario{server_mode::normal, 200, 200, 1, 1},
          scenario{server_mode::unframed, 200, 200, 1, 1},
          scenario{server_mode::repeat_reply, 200, 200, 1, 1},
          scenario{server_mode::refuse, 503, 503, 0, 0},
          scenario{server_mode::fail, 500, 500, 4, 1},
          scenario{server_mode::lose, 502, 502, 4, 1},
          scenario{server_mode::truncate, 502, 502, 4, 1},
          scenario{server_mode::truncate_head, 502, 502, 4, 1},
          scenario{server_mode::garble, 502, 502, 4, 1},
          scenario{server_mode::wrong_id, 502, 502, 4, 1},
          scenario{server_mode::zero_status, 502, 502, 4, 1},
          scenario{server_mode::status_600, 502, 502, 4, 1},
          scenario{server_mode::unsigned_reply, 502, 502, 4, 1}})
    {
        CAPTURE(static_cast<int>(each.mode));
        server.set_mode(each.mode);
        const auto before = server.runs().size();
        const auto first = this->ask("GET", "/p/x");
        CHECK(first.result_int() == each.idempotent);
        CHECK(server.runs().size() - before <= each.idempotent_runs);
        const auto between = server.runs().size();
        const auto second = this->ask("POST", "/once/x");
        CHECK(second.result_int() == each.once);
        CHECK(server.runs().size() - between == each.once_runs);
        for (const auto& reply : {first, second})
        {
            // Only the server's own replies carry a signature.
            const bool is_from_server = reply.count("Response-Seal") > 0;
            CHECK(is_from_server ==
                  (reply.result_int() == 200 || reply.result_int() == 500));
            if (reply.result_int() == 200)
                CHECK(reply.body() == "answer");
            if (reply.result_int() == 503)
                CHECK(reply.count("Retry-After") == 1);
        }
        server.set_mode(server_mode::normal);
        // Bytes left on a connection do not answer another request.
        for (unsigned follow = 0; follow < 3; ++follow)
            CHECK(this->ask("GET", "/p/x").body() == "answer");
    }
}

// Guards against giving up a request although another server has capacity.
TEST_CASE_FIXTURE(gateway_fixture, "a refused request goes to another server")
{
    auto& first = this->add_server("plain", "i-1");
    auto& second = this->add_server("plain", "i-2");
    this->put_config(1, 0);
    this->wait_for(2, 1);
    first.set_mode(server_mode::refuse);
    for (const char* target : {"/p/x", "/once/x"})
        for (unsigned request = 0; request < 10; ++request)
            CHECK(this->ask("POST", target).result_int() == 200);
    CHECK(first.runs().empty());
    CHECK(second.runs().size() == 20);
}

// Guards against a late second copy of a refusal that is taken for the reply to
// the next send of the same request: the request ran twice (rule TWICE), and
// could be refused after it had run (rule REFUSED).
TEST_CASE_FIXTURE(gateway_fixture, "a second copy of a refusal is not a reply")
{
    auto& server = this->add_server("plain", "i-1");
    server.set_mode(server_mode::repeat_refusal);
    // The copy arrives well before the reply.
    server.set_delay(30ms);
    this->put_config(1, 0);
    this->wait_for(1, 1);
    for (const char* target : {"/once/x", "/p/x"})
        for (unsigned request = 0; request < 5; ++request)
        {
            CAPTURE(target);
            const auto before = server.runs().size();
            CHECK(this->ask("POST", target).result_int() == 200);
            CHECK(server.runs().size() == before + 1);
        }
}

// Guards against a request that runs on the wrong server: the directory still
// lists a server whose address a different one has taken over. Each such
// request counted as a repeat for the service of the other server (found on
// dialcraft-amman, day fresh-248f).
TEST_CASE_FIXTURE(gateway_fixture, "a replaced server is called once")
{
    auto& replacement = this->add_server("plain", "i-new", "answer", "i-old");
    this->put_config(1, 0);
    this->wait_for(1, 1);
    for (unsigned request = 0; request < 5; ++request)
        CHECK(this->ask("POST", "/once/x").result_int() == 503);
    CHECK(replacement.runs().empty());
    CHECK(replacement.arrivals().size() == 1);
}

// Guards against a header, path or query that changes on the way, and against a
// server that gets more time than the caller has left.
TEST_CASE_FIXTURE(gateway_fixture, "the request arrives as it was sent")
{
    auto& server = this->add_server("plain", "i-1");
    this->put_config(1, 0);
    this->wait_for(1, 1);
    raw_client caller(this->caller_server->endpoint());
    caller.send("GET /p/a%20b?c=%2F&d HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                "Deadline-Ms: 900\r\nX-Own: kept\r\nX-Hop: dropped\r\n"
                "Connection: X-Hop\r\nTarget-Instance: forged\r\n\r\n");
    CHECK(caller.read().result_int() == 200);
    REQUIRE(server.arrivals().size() == 1);
    const auto head = server.arrivals()[0];
    CHECK(head.starts_with("GET /p/a%20b?c=%2F&d HTTP/1.1\r\n"));
    CHECK(head.find("X-Own: kept") != std::string::npos);
    CHECK(head.find("X-Hop") == std::string::npos);
    CHECK(head.find("Target-Instance: i-1\r\n") != std::string::npos);
    CHECK(head.find("forged") == std::string::npos);
    const auto at = head.find("Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    const auto left = std::stoi(head.substr(at + 13));
    CHECK(left > 0);
    CHECK(left <= 900);
}

// Guards against a merged answer with a wrong order, a part of another request,
// or a wrong count of missing parts.
TEST_CASE_FIXTURE(gateway_fixture, "a merged answer counts its missing parts")
{
    struct scenario
    {
        // Mode of the third shard's only server.
        server_mode third_mode;
        std::string missing;
        std::size_t parts;
    };
    const auto make_record = [](char letter)
    { return std::string(16, letter); };
    this->add_server("s1", "i-1", make_record('b') + make_record('e'));
    this->add_server("s2", "i-2", make_record('d') + "rest");
    auto& third =
        this->add_server("s3", "i-3", make_record('f') + make_record('a'));
    this->put_config(1, 3);
    this->wait_for(3, 1);
    for (const auto& [mode, missing, parts] :
         {scenario{server_mode::normal, "0", 3},
          scenario{server_mode::refuse, "1", 2},
          scenario{server_mode::fail, "1", 2},
          scenario{server_mode::wrong_id, "1", 2},
          scenario{server_mode::unsigned_reply, "1", 2},
          scenario{server_mode::truncate, "1", 2}})
    {
        CAPTURE(static_cast<int>(mode));
        third.set_mode(mode);
        const auto reply = this->ask("GET", "/q/x");
        CHECK(reply.result_int() == 200);
        CHECK(reply["Missing-Parts"] == missing);
        const std::string seals(reply["Part-Seals"]);
        CHECK(std::ranges::count(seals, ',') ==
              static_cast<std::ptrdiff_t>(parts) - 1);
        CHECK(reply.body() ==
              (parts == 3
                   ? make_record('f') + make_record('e') + make_record('d')
                   : make_record('e') + make_record('d') + make_record('b')));
    }
}

// Guards against an answer below the coverage floor, and against one that is
// delayed until the deadline.
TEST_CASE_FIXTURE(gateway_fixture, "a silent shard is left out at the target")
{
    this->add_server("s1", "i-1", std::string(16, 'a'));
    auto& second = this->add_server("s2", "i-2", std::string(16, 'b'));
    second.set_mode(server_mode::silent);
    this->put_config(1, 2, 200, 0.5);
    this->wait_for(2, 1);
    const auto partial = this->ask("GET", "/q/x");
    CHECK(partial.result_int() == 200);
    CHECK(partial["Missing-Parts"] == "1");
    this->put_config(2, 2, 200, 0.9);
    this->wait_for(2, 2);
    CHECK(this->ask("GET", "/q/x", 600).result_int() == 504);
    // The call to the silent server is cancelled soon after each answer.
    CHECK(wait_until([&] { return second.abandoned() >= 2; }));
}

// Guards against servers that go on working after the caller has closed its
// connection, and against an empty 200 for one that has closed its sending side
// only, which looks the same (rules GONE and MIXED).
TEST_CASE_FIXTURE(gateway_fixture, "a caller's close cancels its request")
{
    auto& server = this->add_server("plain", "i-1");
    server.set_mode(server_mode::silent);
    this->put_config(1, 0);
    this->wait_for(1, 1);
    std::size_t cancelled = 0;
    for (const auto close :
         {&raw_client::close, &raw_client::reset, &raw_client::half_close})
    {
        raw_client caller(this->caller_server->endpoint());
        caller.send(this->make_request("GET", "/p/x", 60000));
        REQUIRE(
            wait_until([&] { return server.runs().size() == cancelled + 1; }));
        (caller.*close)();
        CHECK(wait_until([&] { return server.abandoned() == cancelled + 1; }));
        // Only the caller that closed its sending side could get an answer.
        CHECK(caller.read().result_int() == 0);
        ++cancelled;
    }
}

// Guards against 404 for a route that a newer version may hold, and against an
// answer other than 503 while no configuration is known.
TEST_CASE_FIXTURE(gateway_fixture, "404 is sent only when routes are known")
{
    CHECK(this->ask("GET", "/p/x").result_int() == 503);
    this->put_config(1, 0);
    this->wait_for(0, 1);
    CHECK(this->ask("GET", "/unknown/x").result_int() == 404);
    // A route whose service has no server.
    CHECK(this->ask("GET", "/p/x").result_int() == 503);
}

// Guards against requests to a server that has said in a reply that it leaves,
// whatever the directory says of it (rule DRAIN), and against one that is not
// used after it has started again.
TEST_CASE_FIXTURE(gateway_fixture, "a server that says that it leaves")
{
    auto& leaving = this->add_server("plain", "i-1");
    auto& other = this->add_server("plain", "i-2");
    this->put_config(1, 0);
    this->wait_for(2, 1);
    const auto put_entry = [&](unsigned sequence, const std::string& born)
    {
        this->store.put("servers/i-1",
                        R"({"service":"plain","address":")" +
                            format_endpoint(leaving.endpoint()) +
                            R"(","zone":"z","capacity":2,"state":"ready",)"
                            R"("sequence":)" +
                            std::to_string(sequence) + R"(,"born":)" + born +
                            "}");
    };
    leaving.set_leaving(true);
    REQUIRE(wait_until(
        [&]
        {
            this->ask("GET", "/p/x");
            return !leaving.runs().empty();
        }));
    const auto before = leaving.arrivals().size();
    for (unsigned request = 0; request < 20; ++request)
        CHECK(this->ask("POST", "/once/x").result_int() == 200);
    CHECK(leaving.arrivals().size() == before);
    std::this_thread::sleep_for(upstream_signals::leaving_grace);
    other.set_mode(server_mode::refuse);
    const std::string born = "1700000000000";
    for (unsigned round = 1; round <= 3; ++round)
    {
        // The directory lists it as ready, and drops and lists it again.
        if (round == 3)
        {
            this->store.remove("servers/i-1");
            this->wait_for(1, round - 1);
            std::this_thread::sleep_for(upstream_registry::leaving_grace);
        }
        put_entry(1 + round, born);
        this->put_config(round, 0);
        this->wait_for(2, round);
        for (unsigned request = 0; request < 5; ++request)
            CHECK(this->ask("POST", "/once/x").result_int() == 503);
    }
    CHECK(leaving.arrivals().size() == before);
    put_entry(1, "1700000009999");
    leaving.set_leaving(false);
    CHECK(wait_until([&]
                     { return this->ask("GET", "/p/x").result_int() == 200; }));
}

// Guards against requests to a server that has refused one and wants a pause
// (rule BUDGET), against refusals without the time at which there is room, and
// against a server that is not used after its pause.
TEST_CASE_FIXTURE(gateway_fixture, "a server that wants a pause")
{
    struct scenario
    {
        const char* retry_after;
        std::size_t arrivals;
    };
    auto& server = this->add_server("plain", "i-1");
    unsigned version = 1;
    this->put_config(version, 0);
    this->wait_for(1, version);
    // A request is offered four times when the server wants no pause.
    for (const auto& [retry_after, arrivals] :
         {scenario{"1.5", 1}, scenario{"2", 1}, scenario{"", 12},
          scenario{"-1", 12}, scenario{"1e999", 12}, scenario{"nan", 12},
          scenario{"Sat, 05 Dec 2026 05:00:00 GMT", 12}, scenario{"0", 12}})
    {
        CAPTURE(retry_after);
        server.set_retry_after(retry_after);
        server.set_mode(server_mode::refuse);
        const auto before = server.arrivals().size();
        for (unsigned request = 0; request < 3; ++request)
        {
            const auto reply = this->ask("POST", "/once/x");
            CHECK(reply.result_int() == 503);
            const auto wait = std::stod(std::string(reply["Retry-After"]));
            CHECK((wait > 0.2) == (arrivals == 1));
            // An instance returns up to a quarter of a second after the pause.
            CHECK(wait <=
                  (arrivals == 1 ? std::stod(retry_after) + 0.25 : 0.2));
            if (request == 0)
                this->put_config(++version, 0);
        }
        CHECK(server.arrivals().size() - before == arrivals);
        server.set_mode(server_mode::normal);
        CHECK(wait_until(
            [&] { return this->ask("GET", "/p/x").result_int() == 200; }));
    }
}

// Guards against an upstream that gets more requests than the limit that its
// replies state (rule LIMIT), against requests that are not sent to another
// upstream instead, and against a refusal without a time to come back.
TEST_CASE_FIXTURE(gateway_fixture, "an upstream's rate limit is kept")
{
    constexpr double limit = 2;
    constexpr auto told_before = 500ms;
    constexpr auto length = 2s;
    auto& limited = this->add_server("plain", "i-1");
    this->put_config(1, 0);
    this->wait_for(1, 1);
    this->on_worker(
        [this]
        {
            this->state.rate_limits.set_fleet(
                {.size = {.instances = 1, .view = fleet_view::settled},
                 .own_address = "self",
                 .live = {{.address = "self", .failure_domain = "z"}}});
            return 0;
        });
    limited.set_rate_limit(limit);
    CHECK(this->ask("GET", "/p/x").result_int() == 200);
    std::this_thread::sleep_for(told_before);
    const auto before = limited.arrivals().size();
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < begin + length)
    {
        const auto reply = this->ask("POST", "/once/x");
        if (reply.result_int() == 503)
            CHECK(std::stod(std::string(reply["Retry-After"])) >= 0.2);
        else
            CHECK(reply.result_int() == 200);
        std::this_thread::sleep_for(10ms);
    }
    const auto arrived = limited.arrivals().size() - before;
    CHECK(arrived >= 1);
    CHECK(static_cast<double>(arrived) <=
          1.5 * limit * std::chrono::duration<double>(length).count() + 5);
    this->add_server("plain", "i-2");
    this->wait_for(2, 1);
    for (unsigned request = 0; request < 20; ++request)
        CHECK(this->ask("POST", "/once/x").result_int() == 200);
    limited.set_rate_limit(-1);
    REQUIRE(wait_until(
        [this]
        {
            this->ask("GET", "/p/x");
            return this->on_worker(
                [this] { return this->state.rate_limits.size() == 0; });
        }));
}

// Guards against a call that is sent to an evacuated failure domain because it
// was queued before, against a caller that gets no answer for that, and against
// a running request that is cut.
TEST_CASE_FIXTURE(evacuation_fixture, "queued calls leave an evacuated domain")
{
    constexpr unsigned requests = 60;
    auto& left = this->add_server("plain", "i-z");
    this->server_domain = "y";
    auto& other = this->add_server("plain", "i-y");
    this->put_config(1, 0);
    this->wait_for(2, 1);
    left.set_delay(400ms);
    const auto set = [this](const char* name, bool is_evacuated)
    {
        this->state.evacuated.set(name, is_evacuated, "test",
                                  std::chrono::steady_clock::now());
        return 0;
    };
    // The check just before a call is sent has to suffice, too. Calls to a
    // server that never answers have to move before one of them would be sent.
    for (const bool is_withdrawn : {false, true})
    {
        CAPTURE(is_withdrawn);
        left.set_mode(is_withdrawn ? server_mode::silent : server_mode::normal);
        this->on_worker(
            [&]
            {
                set("z", false);
                return set("y", true);
            });
        const auto left_before = left.runs().size();
        const auto other_before = other.runs().size();
        std::deque<raw_client> callers;
        for (unsigned request = 0; request < requests; ++request)
            callers.emplace_back(this->caller_server->endpoint())
                .send(this->make_request("POST", "/once/x"));
        REQUIRE(wait_until(
            [&]
            {
                return this->on_worker(
                    [&]
                    {
                        return this->state.upstreams.all()
                                   .at("i-z")
                                   ->state->in_flight() == requests;
                    });
            }));
        this->on_worker(
            [&]
            {
                set("y", false);
                if (is_withdrawn)
                    this->requests->withdraw_evacuated();
                set("z", true);
                if (is_withdrawn)
                    this->requests->withdraw_evacuated();
                return 0;
            });
        std::size_t answered = 0;
        for (auto& caller : callers)
            answered += caller.read().result_int() == 200 ? 1 : 0;
        const auto moved = other.runs().size() - other_before;
        CHECK(moved > 0);
        CHECK(answered == (is_withdrawn ? moved : requests));
        CHECK(left.runs().size() - left_before + moved == requests);
    }
    const auto arrived = left.arrivals().size();
    CHECK(this->ask("GET", "/p/x").result_int() == 200);
    this->on_worker([&] { return set("y", true); });
    const auto refused = this->ask("GET", "/p/x");
    CHECK(refused.result_int() == 503);
    CHECK(refused.count("Retry-After") == 1);
    CHECK(left.arrivals().size() == arrived);
}

// Guards against a request that is sent although it can't be answered in time,
// against a refusal that the caller can't tell from a failure, and against one
// after the upstream has room again.
TEST_CASE_FIXTURE(gateway_fixture, "a request without room is not sent")
{
    auto& server = this->add_server("plain", "i-1");
    this->put_config(1, 0);
    this->wait_for(1, 1);
    const auto report_load = [this](unsigned waiting)
    {
        return this->on_worker(
            [this, waiting]
            {
                if (!this->state.admission)
                    this->state.admission.emplace(&this->state.budgets);
                this->state.admission->load().record_end(
                    {.service = "plain",
                     .upstream = "i-1",
                     .end = send_end::answered,
                     .elapsed = 100ms,
                     .load = upstream_load{.running = 1,
                                           .waiting = waiting,
                                           .slots = 1}},
                    std::chrono::steady_clock::now());
                return true;
            });
    };
    report_load(200);
    const auto refused = this->ask("POST", "/once/x");
    CHECK(refused.result_int() == 503);
    CHECK(refused.count("Retry-After") == 1);
    CHECK(server.arrivals().empty());
    CHECK(this->measures.text().find(
              "wisteriahatch_admissions_total{decision=\"refused_late\","
              "route=\"once\"} 1\n") != std::string::npos);
    report_load(0);
    CHECK(this->ask("POST", "/once/x").result_int() == 200);
    CHECK(server.runs().size() == 1);
}

// Guards against requests whose legs fill the memory because only the request
// itself is counted, and against a refusal of one that has been sent.
TEST_CASE_FIXTURE(gateway_fixture, "a request without memory is not sent")
{
    struct scenario
    {
        const char* target;
        unsigned shards;
        bool has_memory;
        unsigned status;
    };
    auto& server = this->add_server("plain", "i-1");
    for (const char* service : {"s1", "s2", "s3"})
        this->add_server(service, std::string("i-") + service,
                         std::string(32, 'r'));
    this->put_config(1, 3);
    this->wait_for(4, 1);
    std::size_t reserved = 0;
    bool has_memory = true;
    this->reserve_memory = [&](std::size_t bytes)
    {
        reserved = bytes;
        return has_memory;
    };
    std::size_t leg = 0;
    constexpr std::size_t reply_bytes = 3 * record_bytes;
    for (const auto& each :
         {scenario{"/p/x", 1, true, 200}, scenario{"/q/x", 3, true, 200},
          scenario{"/p/x", 1, false, 503}, scenario{"/q/x", 3, false, 503}})
    {
        CAPTURE(each.target);
        has_memory = each.has_memory;
        const auto arrivals = server.arrivals().size();
        const auto reply = this->ask("GET", each.target);
        CHECK(reply.result_int() == each.status);
        CHECK((reply.count("Retry-After") == 1) == !each.has_memory);
        if (!each.has_memory)
            CHECK(server.arrivals().size() == arrivals);
        leg = leg == 0 ? reserved : leg;
        CHECK(reserved ==
              each.shards * (leg + (each.shards > 1 ? reply_bytes : 0)));
    }
    CHECK(leg > 0);
    CHECK(this->measures.text().find(
              "wisteriahatch_admissions_total{decision=\"refused_memory\","
              "route=\"q\"} 1\n") != std::string::npos);
}
