#include "core/process/service_state.hpp"
#include "core/request/query.hpp"
#include "core/request/wire.hpp"
#include "core/version/document_check.hpp"
#include "measures.hpp"
#include "sample_document.hpp"

#include <boost/json.hpp>
#include <stdexcept>
#include <variant>

namespace wisteriahatch
{

namespace
{

constexpr const char* role = "entry";
constexpr std::size_t rows_per_shard = 10;
constexpr std::chrono::milliseconds deadline{800};

// Runs queries on a service with groups of 3 replicas and one shard per group.
class query_bench
{
public:
    query_bench(std::size_t shards, std::uint64_t seed)
        : checked(check_document(make_sample_document({.groups = shards})))
        , shared_state(service_state::options{})
        , random(seed)
    {
        if (!this->checked.accepted)
            throw std::runtime_error(to_string(this->checked.problems.front()));
        this->service = &this->checked.accepted->services.begin()->second;
        auto table = std::make_shared<upstream_table>();
        for (const group_spec& group : this->service->groups)
        {
            for (const replica_spec& replica : group.replicas)
            {
                table->emplace(
                    replica.name,
                    std::make_shared<upstream_state>(
                        replica.name, replica.failure_domain, this->now));
            }
        }
        this->upstreams = std::move(table);
    }

    query make_query()
    {
        return query(
            {.request_id = "request-1",
             .configuration = this->checked.accepted,
             .upstreams = this->upstreams,
             .service = this->service,
             .caller_class = &this->checked.accepted->classes.begin()->second,
             .shared_state = &this->shared_state,
             .random = &this->random,
             .failure_domain = "jm-kgn",
             .deadline = this->now + deadline});
    }

    // Returns an upstream's reply to the attempt; keys differ by shard and row.
    static search_reply make_reply(const send_attempt& attempt)
    {
        search_reply reply{.request_id = attempt.wire_request_id,
                           .shard = attempt.shard,
                           .version = attempt.version};
        for (std::size_t index = 0; index < rows_per_shard; ++index)
        {
            reply.rows.push_back(
                {.key = "key-" + std::to_string(index) + "-" + attempt.shard,
                 .value = "value-" + std::to_string(index)});
        }
        return reply;
    }

    // Runs one query, answers every attempt with `reply_to` and returns the
    // query's answer.
    template <class Reply>
    query_answer run(Reply&& reply_to)
    {
        query running = this->make_query();
        this->now += std::chrono::milliseconds(1);
        const auto actions = running.start(this->now);
        this->now += std::chrono::milliseconds(1);
        for (const query_action& action : actions)
        {
            const auto* attempt = std::get_if<send_attempt>(&action);
            if (attempt == nullptr)
                continue;
            auto next = running.handle_reply(attempt->attempt,
                                             reply_to(*attempt), this->now);
            for (query_action& following : next)
            {
                if (auto* end = std::get_if<finish_query>(&following))
                    return std::move(end->answer);
            }
        }
        throw std::runtime_error("the query did not finish");
    }

    const service_spec* service = nullptr;
    time_point now{std::chrono::hours(1)};

private:
    document_check checked;
    upstream_table_ptr upstreams;
    service_state shared_state;
    std::mt19937_64 random;
};

// Encodes the reply as the JSON that an upstream sends.
std::string encode_reply(const search_reply& reply)
{
    boost::json::array rows;
    for (const row& entry : reply.rows)
        rows.push_back({{"key", entry.key}, {"value", entry.value}});
    return boost::json::serialize(
        boost::json::object{{"request_id", reply.request_id},
                            {"shard", reply.shard},
                            {"index_version", reply.version.value},
                            {"rows", std::move(rows)}});
}

}

measurements measure_query(const bench_options& options)
{
    query_bench bench(options.size, options.seed);
    std::size_t rows = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
        rows += bench.run(query_bench::make_reply).rows.size();
    const std::size_t before = allocated_bytes();
    query running = bench.make_query();
    const auto actions = running.start(bench.now);
    return {
        {role, "query_rows", options.size, static_cast<double>(rows), "rows"},
        {role, "query_memory", options.size,
         static_cast<double>(allocated_bytes() - before), "bytes"}};
}

measurements measure_query_wire(const bench_options& options)
{
    query_bench bench(options.size, options.seed);
    std::size_t request_bytes = 0;
    std::size_t reply_bytes = 0;
    std::size_t answer_bytes = 0;
    for (std::size_t iteration = 0; iteration < options.iterations; ++iteration)
    {
        request_bytes = 0;
        reply_bytes = 0;
        const query_answer answer = bench.run(
            [&](const send_attempt& attempt)
            {
                request_bytes +=
                    encode_search_request(attempt, bench.service->name,
                                          "query 1234", deadline)
                        .size();
                const std::string reply =
                    encode_reply(query_bench::make_reply(attempt));
                reply_bytes += reply.size();
                return decode_search_reply(reply).value();
            });
        answer_bytes = encode_query_answer(answer).size();
    }
    const auto shards = static_cast<double>(options.size);
    return {{role, "search_request", options.size,
             static_cast<double>(request_bytes) / shards, "bytes"},
            {role, "search_reply", options.size,
             static_cast<double>(reply_bytes) / shards, "bytes"},
            {role, "query_answer", options.size,
             static_cast<double>(answer_bytes), "bytes"}};
}

}
